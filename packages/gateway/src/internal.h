#ifndef GATEWAY_INTERNAL_H
#define GATEWAY_INTERNAL_H

#include "endpoint.h"
#include "gateway.h"
#include "sse.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <uthash.h>

#define REQUEST_ID_SIZE 65
#define ATTEMPT_ID_SIZE (REQUEST_ID_SIZE + 32)
#define ERROR_BODY_LIMIT 4096

enum request_kind
{
  REQUEST_COMPLETION,
  REQUEST_CHAT,
  REQUEST_SERVICE,
};

enum request_state
{
  REQUEST_NEW,
  REQUEST_QUEUED,   /* in admission */
  REQUEST_CLAIMING, /* waits for its claim */
  REQUEST_RUNNING,  /* has an attempt */
  REQUEST_WAITING,  /* waits for a retry */
  REQUEST_SETTLING, /* has its answer, waits for the claim's record */
};

struct gateway_request;

/* One try of a request at one endpoint. */
struct attempt
{
  struct gateway_request *request; /* NULL once it was abandoned */
  struct endpoint_call *call;
  char id[ATTEMPT_ID_SIZE]; /* X-Request-Id towards the engine */
  char key[CHOOSE_KEY_SIZE];
  char host[FLEET_NAME_SIZE];
  char boot_id[FLEET_NAME_SIZE];
  char address[FLEET_ADDRESS_SIZE];
  uint16_t port;
  uint64_t generation;
  int64_t started_ms;
  int64_t progress_ms; /* last byte of the answer */
  unsigned tokens;     /* received by this attempt */
  bool struck;         /* told to the chooser */
  struct sse_decoder decoder;
  struct evbuffer *answer; /* body of a service, or of an error */
};

struct gateway_request
{
  struct gateway *gateway;
  struct evhttp_request *http; /* NULL once the caller is gone or answered */
  bool reply_started;

  enum request_kind kind;
  enum request_state state;
  char id[REQUEST_ID_SIZE];
  char unique[17]; /* makes attempt ids differ between equal request ids */
  char customer[SHEET_NAME_SIZE]; /* "" until identified */
  char target[ADMISSION_NAME_SIZE];
  char name[SHEET_NAME_SIZE]; /* of the model or service */
  char fingerprint[HASH_HEX_SIZE];
  int64_t started_ms;
  int64_t deadline_ms;

  /* Generation. */
  char *prompt;
  uint64_t prefix_hash;
  uint64_t max_tokens;
  bool streamed;
  uint64_t next_index; /* tokens accepted so far */
  struct evbuffer *text;
  char *chunk_head;       /* constant start of each streamed chunk */
  int64_t first_token_ms; /* 0 = none yet */
  /*
   * Events wait here while the connection still writes those before.  Passing
   * each on at once would cost a kilobyte of evbuffer chains per token.
   */
  struct evbuffer *backlog;
  bool writing;         /* the connection has not written all it was given */
  size_t sent_bytes;    /* put into backlog or connection */
  size_t drained_bytes; /* of them, taken by the socket */
  int64_t drained_ms;   /* last time that drained_bytes rose */

  /* Service. */
  enum evhttp_cmd_type method;
  char *path;
  char *body;
  size_t body_size;
  bool repeatable;
  char idempotency_key[64];
  char content_type[128];
  struct gateway_claim *claim;
  bool claim_granted;
  bool *decided; /* set while the claim's begin runs */
  bool settling; /* a settled callback may come */
  struct claim_answer answer;

  /* Attempts. */
  struct admission_entry admission;
  bool submitted;
  struct attempt *attempt;
  unsigned attempts;
  bool may_have_run;
  enum result failure; /* of the last attempt */
  char failed_key[CHOOSE_KEY_SIZE];
  char last_host[FLEET_NAME_SIZE];
  int64_t failed_ms;
  bool struck;               /* the last failure was an endpoint's death */
  int64_t capacity_until_ms; /* retries wait for an endpoint until then */
  struct event *timer;
  TAILQ_ENTRY (gateway_request) link;
};

struct gateway_customer
{
  char name[SHEET_NAME_SIZE];
  struct budget budget;
  UT_hash_handle hh;
};

/* listener.c */
enum result
listener_start (struct gateway *gateway, const char *address, uint16_t port);
void listener_stop (struct gateway *gateway);

/*
 * Lets a disconnect be seen while the reply has not started, without a read
 * timeout.  Cleared by listener_unwatch.
 */
void listener_watch (struct gateway_request *request);
void listener_unwatch (struct gateway_request *request);

/* request.c */
struct gateway_request *request_new (struct gateway *gateway,
                                     struct evhttp_request *http,
                                     int64_t now_ms);
/* The caller's connection closed. */
void request_caller_gone (struct gateway_request *request);
/* Ends with an error towards the caller; the request is freed. */
void request_refuse (struct gateway_request *request,
                     enum result result,
                     int64_t retry_after_ms);
/* Ends an answered request (reply already sent); the request is freed. */
void request_done (struct gateway_request *request);
/* Starts a wait that ends in request_dispatch. */
void request_wait (struct gateway_request *request, int64_t delay_ms);
void request_tick (struct gateway_request *request, int64_t now_ms);

/* identify.c: limits, credential, place.  RESULT_OK or a refusal. */
enum result identify_limits (struct gateway_request *request);
enum result identify_customer (struct gateway_request *request);
enum result identify_place (const struct gateway_request *request);
/* The customer in the present sheet; NULL if it is not there any more. */
const struct sheet_customer *
identify_find (const struct gateway_request *request);

/* parse.c */
enum result parse_request (struct gateway_request *request);
/* Checks the target's place and permission; repeated at each dispatch. */
enum result parse_check_target (const struct gateway_request *request);

/* admit.c */
void admit_request (struct gateway_request *request);
void admit_pump (struct gateway *gateway, int64_t now_ms);
void admit_pump_later (struct gateway *gateway);

/* dispatch.c */
void request_dispatch (struct gateway_request *request);
/*
 * Ends the present attempt and retries or refuses.  died: the connection was
 * cut while the request ran, so the endpoint may have crashed.
 */
void
attempt_failed (struct gateway_request *request, enum result result, bool died);
/* Ends the present attempt, if any; cancel tells the engine to stop. */
void
attempt_end (struct gateway_request *request, enum choose_end end, bool cancel);
void attempt_tick (struct gateway_request *request, int64_t now_ms);
/* True if a service's or an engine's answer says that it is leaving. */
bool answer_is_leaving (struct attempt *attempt);
/* Keeps the bytes; false if there are more than the limit. */
bool attempt_collect (struct attempt *attempt,
                      const char *bytes,
                      size_t size,
                      size_t limit);
struct gateway_customer *customer_get (struct gateway *gateway,
                                       const char *name);

/* generate.c */
bool generate_start (struct gateway_request *request, struct attempt *attempt);
void generate_cancel (struct gateway *gateway, const struct attempt *attempt);
void generate_backpressure (struct gateway_request *request, int64_t now_ms);
/* Bytes that wait for the caller. */
size_t generate_pending (const struct gateway_request *request);
/* Ends a stream that has started with an error event. */
void generate_send_error (struct gateway_request *request, const char *json);

/* service.c */
bool service_start (struct gateway_request *request, struct attempt *attempt);
void service_claim (struct gateway_request *request);
void service_settle_failure (struct gateway_request *request);
void service_reply (struct gateway_request *request);

/* refusal.c */
char *refusal_json (const struct gateway_request *request,
                    enum result result,
                    enum outcome outcome,
                    int64_t retry_after_ms);
void refusal_send (struct gateway_request *request,
                   enum result result,
                   enum outcome outcome,
                   int64_t retry_after_ms);

/* metrics.c */
void metrics_request_end (const struct gateway_request *request,
                          enum result result,
                          enum outcome outcome,
                          int64_t now_ms);
void metrics_tick (struct gateway *gateway, int64_t now_ms);

#endif
