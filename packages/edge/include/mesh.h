#ifndef EDGE_MESH_H
#define EDGE_MESH_H

#include "balance.h"
#include "endpoints.h"
#include "follower.h"
#include "gossip.h"
#include "records.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * The other entry hosts: found through records on the platform and through
 * each other's datagrams, and told regularly what this one has running.
 */

#define MESH_LOAD_LIMIT 512 /* endpoints that one host has requests at */

struct mesh_host
{
  char name[CATALOG_NAME_SIZE];
  char data_centre[CATALOG_NAME_SIZE];
  char address[CATALOG_NAME_SIZE];
  uint16_t port;
  uint64_t boot;
  uint32_t sequence;
  int64_t heard_ms; /* 0 = never */
  uint32_t load_count;
  struct gossip_load loads[MESH_LOAD_LIMIT];
  UT_hash_handle hh;
};

struct mesh_hooks
{
  void *context;
  void (*report) (void *context,
                  const char *endpoint,
                  const struct endpoint_report *report,
                  uint64_t revision);
  /* The hosts say that requests at this endpoint stand still. */
  void (*stands_still) (void *context, struct lane *lane);
};

struct mesh
{
  struct event_base *base;
  struct records *records;
  struct lanes *lanes;
  struct mesh_hooks hooks;
  struct follower follower;
  struct mesh_host *hosts; /* uthash by name; without this one */
  char self[CATALOG_NAME_SIZE];
  char data_centre[CATALOG_NAME_SIZE];
  char address[CATALOG_NAME_SIZE];
  uint16_t port;
  uint64_t boot;
  uint32_t sequence;
  int socket;
  struct event *readable;
  bool traffic; /* some host has seen requests */
  bool changed; /* loads were heard since the last sum */
  bool registered;
  bool registering;
  uint64_t own_revision; /* of the own record; 0 = not there */
  int64_t register_ms;   /* next try */
  int64_t send_ms;       /* next load message */
  int64_t now_ms;
  struct gossip_load loads[MESH_LOAD_LIMIT]; /* of this host, when told */
  struct gossip_message message;             /* being sent */
};

enum result mesh_init (struct mesh *mesh,
                       struct event_base *base,
                       struct records *records,
                       struct lanes *lanes,
                       const struct mesh_hooks *hooks,
                       const char *self,
                       const char *data_centre,
                       const char *address,
                       uint16_t port,
                       uint64_t boot);
void mesh_finish (struct mesh *mesh);
void mesh_tick (struct mesh *mesh, bool traffic, int64_t now_ms);

/* Tells all hosts what the platform's list says of an endpoint. */
void mesh_send_report (struct mesh *mesh,
                       const char *endpoint,
                       const struct endpoint_report *report,
                       uint64_t revision);

/* Entry hosts heard lately, this one included. */
unsigned mesh_live_hosts (const struct mesh *mesh);

#endif
