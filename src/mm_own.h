/* mm_own: our own interface, as ports of the core.

   What platform/ is for the users' prepared platform, this is for our
   stand-ins: calls to upstreams and to the store, and callers' jobs at
   POST /v1/jobs.  */
#ifndef MM_OWN_H
#define MM_OWN_H

#include "mm_node.h"

/* ---- mm_own_exec: calls to upstreams ---- */
mm_exec_port mm_own_exec_port (mm_http_client *client);

/* ---- mm_own_store: calls to the store ---- */
typedef struct mm_own_store mm_own_store;
mm_own_store *mm_own_store_create (mm_http_client *client, const char *addr);
void mm_own_store_destroy (mm_own_store *s);
mm_store_port mm_own_store_port (mm_own_store *s);

/* ---- mm_own_front: callers' jobs ---- */
typedef struct mm_own_front mm_own_front;
mm_own_front *mm_own_front_create (struct ev_loop *loop,
                                   const mm_node_settings *s, mm_node *node,
                                   GError **error);
void mm_own_front_destroy (mm_own_front *f);
void mm_own_front_set_leaving (mm_own_front *f);
uint32_t mm_own_front_connections (const mm_own_front *f);
mm_submission *mm_own_submission (const char *body, size_t len,
                                  mm_time_ms *patience_ms, GError **error);

#endif /* MM_OWN_H */
