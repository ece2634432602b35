/* mm_node: one instance: its view of the platform, its upstreams, its
   peers and its callers' jobs.  */
#ifndef MM_NODE_H
#define MM_NODE_H

#include "mm_jobs.h"
#include "mm_kept.h"
#include "mm_store.h"

typedef struct mm_node mm_node;

typedef struct
{
  char *name;           /* of the machine */
  char *address;        /* IP address to listen on */
  char *datacentre;     /* where it stands */
  char **datacentres;   /* all of them */
  char *front;          /* "ip:port" for callers */
  char *ready;          /* "ip:port" for the balancer */
  char *store;          /* "ip:port" of the platform's store */
  char *mesh_advertise; /* "ip:port" told to the others, "" for our own */
  int64_t mesh_port;    /* for the other instances */
  int64_t state_port;   /* state dump for operators */
  int64_t partitions;   /* of a topic of the store */
  char *interface;      /* "own" or "platform" */
  int64_t grace_ms;     /* from SIGTERM to the kill */
  double link_mbps;     /* of this instance's link */
} mm_node_settings;

extern const mm_setting_spec mm_node_setting_specs[];
void mm_node_settings_defaults (mm_node_settings *s);

mm_node *mm_node_create (struct ev_loop *loop, const mm_node_settings *s,
                         const mm_exec_port *exec, const mm_store_port *store,
                         GError **error);
void mm_node_destroy (mm_node *n);
bool mm_node_ready (const mm_node *n);      /* new callers are welcome */
bool mm_node_takes_jobs (const mm_node *n); /* not about to exit */
const mm_routes *mm_node_routes (const mm_node *n); /* NULL: none yet */
mm_jobs *mm_node_jobs (mm_node *n);
mm_kept *mm_node_kept (mm_node *n);
void mm_node_leave (mm_node *n); /* begin a graceful shutdown */
bool mm_node_left (const mm_node *n, uint32_t open_connections); /* may exit */
char *mm_node_metrics (const mm_node *n); /* text, g_free */
char *mm_node_dump (const mm_node *n);    /* state as JSON, free() */

#endif /* MM_NODE_H */
