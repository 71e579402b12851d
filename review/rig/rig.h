#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

/*
 * Stand-ins for the cases of the review: the platform's store, servers without
 * groups, clients, and the platform's supervision of entry hosts.  Everything
 * runs on loopback addresses, with threads and blocking sockets.  Errors of the
 * rig itself end the process with status 2.
 */

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

/* Ends the process with status 2, after ending the hosts. */
void rig_fail (const char *reason) __attribute__ ((noreturn));
/* Creates the work directory and opens record.txt in the folder of the case. */
void rig_init (const char *folder);
/* Ends all hosts, removes the work directory and exits. */
void rig_exit (int status) __attribute__ ((noreturn));
/* False if the environment has TROUBLE=0. */
bool rig_has_trouble (void);
int64_t rig_now_ms (void); /* since rig_init */
void rig_sleep_ms (int64_t ms);
void rig_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void rig_start_thread (void *(*run) (void *context), void *context);

/* net.c */
#define HEAD_SIZE 16384
struct conn
{
  int fd;
  size_t have; /* bytes in buffer */
  char buffer[HEAD_SIZE];
};
int net_listen (const char *address, uint16_t *port);
/* receive_bytes: size of the receive buffer; 0 = the system's choice. */
bool net_connect (struct conn *conn,
                  const char *address,
                  uint16_t port,
                  int receive_bytes);
void net_close (struct conn *conn);
bool net_send (struct conn *conn, const void *data, size_t size);
/* Reads a head up to its blank line as text; false if the connection ended. */
bool net_read_head (struct conn *conn, char head[HEAD_SIZE]);
/* Reads size bytes; data NULL discards them. */
bool net_read (struct conn *conn, char *data, size_t size);
/* Copies the field's value; false if there is none. */
bool
net_get_field (const char *head, const char *name, char *value, size_t size);
size_t net_content_length (const char *head);

/* store.c: the platform's store, with 20 s of history. */
uint16_t store_start (void);
void store_put (const char *kind, const char *name, json_t *spec);
/*
 * Puts an object of another writer, whose spec is given out as these bytes.
 * All such objects have the same bytes.
 */
void store_put_raw (const char *kind, const char *name, const char *bytes);

/* server.c: a server of a service without groups. */
struct server
{
  char id[32];
  const char *service;
  const char *zone;
  int64_t born_ms;
  unsigned beats;
  uint16_t port;
  int listener;
  int work_ms;       /* time that a request takes */
  size_t body_bytes; /* size of the answers */
};
void server_start (struct server *server);
/* Number of runs of the request, at all servers. */
unsigned server_runs (const char *request);

/* host.c: an entry host, started with the command of the deploy file. */
struct host
{
  char name[32];
  char address[32];
  char settings[256];
  pid_t pid;
  long memory_limit_bytes; /* above it the platform kills; 0 = no check */
  long memory_peak_bytes;
  unsigned kills; /* for exceeding the limit */
};
/* Starts hosts 1 to count in one zone, and waits until all are ready. */
void host_start_all (struct host *hosts, unsigned count, uint16_t store_port);
void host_signal (struct host *host, int number);
bool host_is_ready (const struct host *host);
void host_end_all (void);

#define FRONT_PORT 8227
#define READY_PORT 8220
#define PEERS_PORT 7340

/* client.c */
struct client
{
  struct conn conn;
  const char *address;
  int receive_bytes;   /* see net_connect */
  int64_t bytes_per_s; /* at which it reads answers; 0 = at once */
  unsigned answers;    /* on the present connection */
};
enum call_end
{
  CALL_ANSWERED, /* complete */
  CALL_CUT,      /* the connection ended before the answer was complete */
  CALL_REFUSED,  /* no connection */
};
struct call
{
  const char *id;
  const char *method;
  const char *path;
  const char *key; /* NULL = none */
  size_t body_bytes;
  int64_t upload_ms; /* time over which the body is sent */
  int deadline_ms;
  /* Results. */
  enum call_end end;
  unsigned status;
  size_t received_bytes; /* of the body of the answer */
  size_t answer_bytes;   /* that its head states */
  bool was_kept;         /* an answer had come on the connection before */
  char server[32];       /* that the seal names */
  int64_t sent_ms;
  int64_t ended_ms;
};
/* Sends the request, on the open connection if there is one. */
void client_call (struct client *client, struct call *call);

/* config.c */
struct route
{
  const char *name;
  const char *prefix;
  const char *type;
  const char *service;
  int timeout_ms;
  bool is_public;
};
/* idle_routes: further routes that nobody uses. */
json_t *config_make (int version,
                     const struct route *routes,
                     unsigned count,
                     unsigned idle_routes);

#endif
