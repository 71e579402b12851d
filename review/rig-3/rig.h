#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * What the scripts of this review share: stand-ins for the platform's store and
 * for plain servers, hosts of the deploy file's build as separate processes,
 * and a client.  Everything is on 127.0.0.1 and free ports, in a temporary
 * folder.  Servers and store answer as a sound server and a sound store do.
 */

#define RIG_NAME_SIZE 512

/* Exit statuses of a case. */
enum rig_verdict
{
  RIG_HELD = 0,
  RIG_BROKEN = 1,
  RIG_CANNOT_RUN = 2,
};

/*
 * A server.  Answers each request after a delay with a whole body, or, if
 * event_count is not 0, with a stream of events, one after each delay.
 */
struct rig_server
{
  const char *id;
  const char *service;
  size_t response_bytes; /* of a plain response */
  int delay_ms;
  unsigned event_count;
  /*
   * A request whose path contains this word crashes the server when it has
   * written so many events.  NULL = none does.
   */
  const char *deadly_word;
  unsigned deadly_events;
  int restart_ms; /* it is back so long after a crash */
};

/* An entry host. */
struct rig_host
{
  const char *name;
  int memory_mb; /* of its machine */
  pid_t pid;     /* 0 = not started */
  int callers_port;
  int ready_port;
  int peers_port;
  int descriptors; /* of its machine; 0 = as they are */
};

struct rig_request
{
  const char *method;
  const char *path;
  const char *host; /* value of the Host field */
  size_t body_bytes;
  int deadline_ms; /* X-Deadline-Ms */
  int limit_ms;    /* gives up after this */
  /* How fast the client reads the response; 0 = as fast as it can. */
  size_t read_bytes_per_s;
};

struct rig_answer
{
  int status; /* 0 = none */
  char id[RIG_NAME_SIZE];
  char seal[RIG_NAME_SIZE];
  size_t body_bytes; /* received */
  size_t length;     /* announced */
  bool is_whole;     /* the body, or the stream to its last chunk */
  int64_t sent_ms;   /* when the request was written */
  int64_t done_ms;   /* when the response was whole, or the client gave up */
};

/* Opens FOLDER/record.txt.  TROUBLE=0 in the environment: no disruption. */
void rig_begin (const char *folder);
bool rig_has_trouble (void);
int64_t rig_now_ms (void);
void rig_sleep_ms (int64_t ms);
void rig_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/* Writes an object; spec is the text of a JSON value. */
void rig_put (const char *kind, const char *name, const char *spec);
void rig_start_server (const struct rig_server *server);

/* Number of requests that the servers of a service have run. */
unsigned rig_count_runs (const char *service);

/* Times of the runs of requests that crash servers, and of the crashes. */
#define RIG_TIMES_LIMIT 512
struct rig_times
{
  unsigned count;
  int64_t list_ms[RIG_TIMES_LIMIT];
};
struct rig_times rig_get_deadly_runs (void);
struct rig_times rig_get_crashes (void);

/* Starts a host; true once it reports that it is ready. */
bool rig_start_host (struct rig_host *host);
/* Asks the host whether it is ready, as the platform does. */
bool rig_is_ready (const struct rig_host *host);
/* Resident memory in bytes; 0 if the process has ended. */
size_t rig_host_memory (const struct rig_host *host);
/* Ends the process with SIGKILL, as the platform does over the memory. */
void rig_kill_host (struct rig_host *host);

/* Sends one request on a connection of its own. */
void rig_call (const struct rig_host *host,
               const struct rig_request *request,
               struct rig_answer *answer);

/* Ends all processes, removes the temporary folder, and exits. */
_Noreturn void rig_end (enum rig_verdict verdict);

#endif
