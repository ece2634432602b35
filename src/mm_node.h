/* mm_node: an instance: its view of the platform, its upstreams, its peers
   and its callers' jobs.  */
#ifndef MM_NODE_H
#define MM_NODE_H

#include "mm_budget.h"
#include "mm_jobs.h"
#include "mm_kept.h"
#include "mm_store.h"

typedef struct mm_node mm_node;

/* Settings of an instance.  */
typedef struct
{
  char *name;            /* name of the machine */
  char *address;         /* IP address to listen on */
  char *datacentre;      /* data centre of the machine */
  char **datacentres;    /* all data centres */
  char *front;           /* "ip:port" where callers submit jobs */
  char *ready;           /* "ip:port" of the balancer's readiness check */
  char *store;           /* "ip:port" of the platform's store */
  char *mesh_advertise;  /* "ip:port" that other instances connect to; "":
                            address and mesh_port */
  int64_t mesh_port;     /* port for the other instances */
  int64_t state_port;    /* port of the state dump for operators */
  int64_t partitions;    /* number of partitions of a topic of the store */
  char *interface;       /* protocol: "own" (of the stand-ins) or "platform" */
  int64_t grace_ms;      /* time from SIGTERM to SIGKILL */
  double link_mbps;      /* Mbit/s of this machine's link, 0: no limit */
  bool late_binding;     /* tasks without free capacity reserve at several
                            owners */
  int64_t reservations;  /* owners that a task reserves at */
  bool overload_control; /* refuse and drop jobs by measured delays */
  int64_t overload_target_ms; /* queueing delay above which a priority is
                                 overloaded */
  bool transfer_runs;         /* planned handovers do not wait for the runs */
  int64_t memory_mb;          /* of the machine; the machine may have less */
  int64_t descriptors;        /* of the process; its limit may be lower */
  int64_t body_kb;            /* largest body of a caller's request, in KiB */
} mm_node_settings;

extern const mm_setting_spec mm_node_setting_specs[];
/* Sets all settings to their defaults; allocates the strings.  */
void mm_node_settings_defaults (mm_node_settings *s);

/* Creates an instance and starts its timers; returns NULL on error.  The
   strings of @s must live as long as the node; the ports are copied.  */
mm_node *mm_node_create (struct ev_loop *loop, const mm_node_settings *s,
                         const mm_exec_port *exec, const mm_store_port *store,
                         GError **error);
void mm_node_destroy (mm_node *n);
/* Returns whether the balancer may send callers to the instance: it is not
   shutting down, and it or a connected peer has capacity, free or in use, for
   a queue of the configuration, or none has because of evacuations.  */
bool mm_node_ready (const mm_node *n);
/* Returns whether jobs are accepted: false shortly before the exit.  */
bool mm_node_accepts_jobs (const mm_node *n);
/* Returns the routes, NULL while no configuration was read yet.  */
const mm_routes *mm_node_routes (const mm_node *n);
mm_jobs *mm_node_jobs (mm_node *n);
/* Returns the memory that callers may make the instance hold.  */
mm_budget *mm_node_budget (mm_node *n);
mm_kept *mm_node_kept (mm_node *n);
/* Begins a graceful shutdown: hands the upstreams over, and serves callers
   until they have closed their connections.  */
void mm_node_leave (mm_node *n);
/* Returns whether the process may exit: the shutdown is complete, or its grace
   time is about to end.  @open_connections: connections of callers.  */
bool mm_node_can_exit (const mm_node *n, uint32_t open_connections);
/* Returns the metrics in the Prometheus text format; free with g_free().  */
char *mm_node_metrics (const mm_node *n);
/* Returns the state as JSON; free with free().  */
char *mm_node_dump (const mm_node *n);

#endif /* MM_NODE_H */
