#ifndef GATEWAY_INTERNAL_H
#define GATEWAY_INTERNAL_H

#include "endpoint.h"
#include "gateway.h"
#include "sse.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <jansson.h>
#include <uthash.h>

#define REQUEST_ID_SIZE 65
#define ATTEMPT_ID_SIZE (REQUEST_ID_SIZE + 32)
#define ERROR_BODY_LIMIT_BYTES 4096

/*
 * The gateway refuses a body over the limit with a JSON error.  Above this
 * multiple of the limit, evhttp sends its own 413 page and closes without
 * reading the body.
 */
#define LISTENER_BODY_LIMIT_FACTOR 2

/* Limit of the pipelined input that is read while a request runs. */
#define PIPELINED_INPUT_LIMIT_BYTES 65536

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
  REQUEST_CLAIMING, /* waits for the decision on its claim */
  REQUEST_RUNNING,  /* has an attempt */
  REQUEST_WAITING,  /* waits for its next dispatch */
  REQUEST_SETTLING, /* has its response; its claim's record is being written */
};

struct gateway_request;

/* One try of a request at one endpoint. */
struct attempt
{
  struct gateway_request *request; /* NULL once it was abandoned */
  struct endpoint_call *call;
  char id[ATTEMPT_ID_SIZE];  /* X-Request-Id towards the engine */
  char key[CHOOSE_KEY_SIZE]; /* the chooser's key; for a model the group id */
  char host[FLEET_NAME_SIZE];
  char boot_id[FLEET_NAME_SIZE];
  char address[FLEET_ADDRESS_SIZE];
  uint16_t port;
  uint64_t generation;
  int64_t started_ms;
  /* Last new token or service data; kept current while reading is paused. */
  int64_t progress_ms;
  /* A service's response waits for memory since; 0 = it does not. */
  int64_t unread_since_ms;
  unsigned tokens;        /* received by this attempt */
  int64_t first_token_ms; /* of this attempt; 0 = none yet */
  bool
      is_sound; /* it has written for long enough, see GATEWAY_SOUND_AFTER_MS */
  bool strike_reported; /* the chooser counts it as having a strike */
  struct sse_decoder decoder;
  struct evbuffer *response; /* response body of a service, or of an error */
};

struct gateway_request
{
  struct gateway *gateway;
  struct evhttp_request *http; /* NULL after a disconnect or the reply */
  struct caller *caller;       /* NULL once its connection has ended */
  bool reply_started;

  enum request_kind kind;
  enum request_state state;
  char id[REQUEST_ID_SIZE];
  char attempt_id_nonce[17];      /* hex; callers may repeat a request id */
  char customer[SHEET_NAME_SIZE]; /* "" until identified */
  char target[ADMISSION_NAME_SIZE];
  char name[SHEET_NAME_SIZE]; /* of the model or service; "" until parsed */
  struct strikes_traits traits;
  int64_t started_ms;
  int64_t deadline_ms;

  /* Generation. */
  char *prompt;
  size_t prompt_size;
  uint64_t prefix_hash;
  uint64_t max_tokens;
  bool streamed;
  uint64_t next_index;             /* tokens accepted so far */
  struct evbuffer *collected_text; /* tokens of an unstreamed response */
  char *event_prefix;     /* constant JSON before the text of each event */
  int64_t first_token_ms; /* 0 = none yet */
  /*
   * Holds events while the connection still writes earlier ones.  Passing each
   * event on at once would cost a kilobyte of evbuffer chains per token.
   */
  struct evbuffer *backlog;
  bool chunk_write_pending; /* the connection still writes a chunk */
  size_t output_bytes;      /* reply bytes put into the backlog or connection */
  size_t delivered_bytes;   /* reply bytes written to the socket */
  int64_t delivered_ms;     /* last time with a delivery or nothing pending */

  /* Service. */
  enum evhttp_cmd_type method;
  char *path;
  char *body;
  size_t body_size;
  bool repeatable;
  char idempotency_key[64];
  char *content_type; /* NULL = none */
  struct gateway_claim *claim;
  bool claim_granted;
  bool *decided_flag; /* non-NULL while begin runs; set on a decision */
  bool settle_callback_pending; /* the settled callback may still be called */
  struct claim_answer answer;   /* the service's response, for the claim */

  /* Attempts. */
  struct admission_entry admission;
  bool in_admission; /* the entry must be released */
  struct attempt *attempt;
  unsigned attempts;
  bool may_have_run;        /* an endpoint may have run an earlier attempt */
  enum result last_failure; /* of the last failed attempt */
  char failed_endpoint_key[CHOOSE_KEY_SIZE];
  char last_host[FLEET_NAME_SIZE]; /* of the latest attempt */
  int64_t last_failure_ms;
  bool strike_recorded; /* the last attempt recorded a strike */
  /* Limit of the wait for a serving endpoint or for the claim's record. */
  int64_t wait_until_ms;
  struct event *timer;
  struct memory_charge charge;          /* of the request's own copies */
  struct memory_charge response_charge; /* of what endpoints answered */
  TAILQ_ENTRY (gateway_request) link;
};

enum caller_phase
{
  CALLER_READING_HEAD, /* or idle */
  CALLER_READING_BODY,
  CALLER_ANSWERING, /* evhttp has handed over a request */
};

/* A connection of a caller, and the bytes that it makes the process hold. */
struct caller
{
  struct gateway *gateway;
  struct bufferevent *bev;         /* owned by evhttp */
  struct evhttp_connection *http;  /* NULL until evhttp has created it */
  struct gateway_request *request; /* NULL unless one is in progress */
  struct gateway_request *watched; /* learns of a disconnect */
  enum caller_phase phase;
  bool is_silent; /* it has sent nothing yet */

  /* The request that is being read. */
  char line[64];          /* beginning of the unfinished line of the head */
  size_t line_size;       /* may be more than the beginning */
  size_t fields;          /* lines of the head */
  bool has_overlong_head; /* it was dropped; the connection is to be ended */
  size_t head_size;       /* bytes of the head */
  bool has_length;
  unsigned long long length; /* of Content-Length */
  size_t body_received;      /* with the framing of chunks */
  /* Bytes that evhttp took from the input; it may still hold them all. */
  size_t consumed;
  size_t chain_bytes; /* allocated beyond what was received */
  bool is_admitted;   /* its body is read above the first watermark */

  int64_t progress_ms;     /* last byte received */
  int64_t written_ms;      /* last byte written, or when writing began */
  int64_t unread_since_ms; /* reading is suspended since; 0 = it is read */
  struct memory_charge state_charge;
  struct memory_charge body_charge;
  struct memory_charge output_charge;
  TAILQ_ENTRY (caller) link;
  UT_hash_handle hh;
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
 * Detects a disconnect of the caller until listener_unwatch_caller.  Disables
 * the connection's timeouts.
 */
void listener_watch_caller (struct gateway_request *request);
void listener_unwatch_caller (struct gateway_request *request);
/* Handles the end of the watched connection, which evhttp is about to free. */
void listener_caller_disconnected (struct gateway_request *request);

/* caller.c */
enum result callers_init (struct gateway *gateway);
void callers_finish (struct gateway *gateway);
/* Callback of evhttp for a new connection. */
struct bufferevent *caller_new (struct event_base *base, void *context);
/* Returns NULL for a connection that is not accounted for. */
struct caller *caller_find (struct gateway *gateway,
                            struct evhttp_connection *connection);
void caller_request_began (struct caller *caller,
                           struct gateway_request *request);
void caller_request_ended (struct caller *caller);
/* The next request of the connection may be read. */
void caller_reply_written (struct caller *caller);
/*
 * Ends what exceeds the memory limit or the number of connections, and lets
 * bodies be read or wait.  Frees requests, so it may not run in a callback of
 * evhttp.
 */
void callers_check (struct gateway *gateway, int64_t now_ms);
void callers_put_metrics (struct gateway *gateway);

/* request.c */
struct gateway_request *request_new (struct gateway *gateway,
                                     struct evhttp_request *http,
                                     int64_t now_ms);
/* Handles a disconnect of the caller: cancels the request if possible. */
void request_caller_disconnected (struct gateway_request *request);
/* Sends the caller an error and frees the request. */
void request_refuse (struct gateway_request *request,
                     enum result result,
                     int64_t retry_after_ms);
/* Frees a request whose reply has been sent. */
void request_complete (struct gateway_request *request);
/* Charges what the request holds; called whenever that has changed. */
void request_account (struct gateway_request *request);
/* Calls request_dispatch after the delay. */
void request_dispatch_later (struct gateway_request *request, int64_t delay_ms);
void request_tick (struct gateway_request *request, int64_t now_ms);

/* identify.c: each check returns RESULT_OK or the code of a refusal. */
enum result identify_check_headers (struct gateway_request *request);
enum result identify_customer (struct gateway_request *request);
enum result identify_check_place (const struct gateway_request *request);
/* Returns the customer in the current sheet; NULL if it was removed. */
const struct sheet_customer *
identify_find_customer (const struct gateway_request *request);

/* parts.c: the parts of a prompt that other requests may share. */
/* The messages of a chat but the last. */
void parts_read_messages (struct strikes_traits *traits,
                          const json_t *messages);
/* The paragraphs of a plain prompt but the last. */
void parts_read_text (struct strikes_traits *traits, const char *prompt);

/* parse.c */
/* "GET", "POST", ... */
const char *request_method_name (enum evhttp_cmd_type method);
enum result parse_request (struct gateway_request *request);
/* Checks the target's data centre and permission; run at each dispatch. */
enum result parse_check_target (const struct gateway_request *request);

/* admit.c */
/* Queues the request in admission, or refuses it. */
void admit_request (struct gateway_request *request);
/* Refuses expired requests and dispatches those that admission lets run. */
void admit_process_queue (struct gateway *gateway, int64_t now_ms);
/* Runs admit_process_queue from the event loop. */
void admit_process_queue_later (struct gateway *gateway);

/* dispatch.c */
/* A stream that has been writing for this long does not crash its endpoint. */
#define GATEWAY_SOUND_AFTER_MS 500
/* The parts of the request's prompt crash no endpoints. */
void request_note_sound_parts (struct gateway_request *request);
/* Starts an attempt, waits for an endpoint or acknowledgements, or refuses. */
void request_dispatch (struct gateway_request *request);
/*
 * Ends the current attempt and retries or refuses.  may_have_crashed: the
 * connection broke while the request ran, so a strike is recorded.
 */
void attempt_fail (struct gateway_request *request,
                   enum result result,
                   bool may_have_crashed);
/* Ends the current attempt, if any; cancel requests the engine to stop. */
void
attempt_end (struct gateway_request *request, enum choose_end end, bool cancel);
void attempt_tick (struct gateway_request *request, int64_t now_ms);
/* The request was answered and so did not cause the crashes it was at. */
void request_clear_strikes (struct gateway_request *request);
/* True if the response is the error of an endpoint that is leaving. */
bool attempt_has_leaving_response (struct attempt *attempt);
/* Appends to the response body; false if it exceeds the limit. */
bool attempt_append_response (struct attempt *attempt,
                              const char *bytes,
                              size_t size,
                              size_t limit);
struct gateway_customer *customer_get_or_create (struct gateway *gateway,
                                                 const char *name);

/* generate.c */
bool generate_start (struct gateway_request *request, struct attempt *attempt);
void generate_cancel (struct gateway *gateway, const struct attempt *attempt);
void generate_update_backpressure (struct gateway_request *request,
                                   int64_t now_ms);
/* Returns the reply bytes that are not yet written to the caller. */
size_t generate_pending_bytes (const struct gateway_request *request);
/* Sends an error event and ends a stream that has already started. */
void generate_send_error (struct gateway_request *request, const char *json);

/* service.c */
bool service_start (struct gateway_request *request, struct attempt *attempt);
/* Resumes a response that waits for memory, or refuses it in the end. */
void service_tick (struct gateway_request *request, int64_t now_ms);
void service_begin_claim (struct gateway_request *request);
void service_settle_failure (struct gateway_request *request);
void service_send_reply (struct gateway_request *request);

/* refusal.c */
char *refusal_format_json (const struct gateway_request *request,
                           enum result result,
                           enum outcome outcome,
                           int64_t retry_after_ms);
void refusal_send (struct gateway_request *request,
                   enum result result,
                   enum outcome outcome,
                   int64_t retry_after_ms);

/* metrics.c */
void metrics_record_request_end (const struct gateway_request *request,
                                 enum result result,
                                 enum outcome outcome,
                                 int64_t now_ms);
void metrics_tick (struct gateway *gateway, int64_t now_ms);

#endif
