/* mm_mesh: the other instances, as places to run tasks.  */
#ifndef MM_MESH_H
#define MM_MESH_H

#include "mm_owner.h"
#include "mm_requests.h"

#include <msgpack.h>

typedef struct mm_mesh mm_mesh;
typedef struct mm_remote mm_remote; /* a task handed to a peer */

typedef struct
{
  char *name;       /* of this incarnation */
  char *addr;       /* "ip:port" of its mesh socket */
  char *datacentre; /* where it stands */
  bool is_standby;  /* holds upstreams of another one */
} mm_peer_info;

void mm_peer_info_clear (gpointer info); /* frees what it holds */

/* Another instance, and the room it last told of.  */
typedef struct
{
  const char *name;
  const char *datacentre;
  mm_capacity_report room; /* less what was sent there since */
  mm_time_ms age_ms;       /* of the report */
} mm_mesh_place;

mm_mesh *mm_mesh_create (struct ev_loop *loop, const char *self,
                         const char *datacentre, const char *host,
                         uint16_t port, mm_owner *owner,
                         GError **error); /* listen */
void mm_mesh_destroy (mm_mesh *m);
typedef void (*mm_mesh_hello) (void *ctx, const char *name);
void mm_mesh_on_hello (mm_mesh *m, mm_mesh_hello hello,
                       void *ctx); /* an instance has linked to us */
/* The holder of partitions of a group has let go of them.  */
typedef void (*mm_mesh_handed) (void *ctx, const char *group);
void mm_mesh_on_handed (mm_mesh *m, mm_mesh_handed handed, void *ctx);
void mm_mesh_tell_handed (mm_mesh *m, const char *group); /* all peers */
/* Upstreams that were lost are passed on; @s must outlive it.  */
void mm_mesh_set_suspects (mm_mesh *m, mm_suspects *s);
void mm_mesh_set_leaving (mm_mesh *m); /* tell them that we shut down */
void mm_mesh_add_peer (mm_mesh *m, const mm_peer_info *p); /* copied */
void mm_mesh_set_peers (mm_mesh *m, const mm_peer_info *peers, size_t n);
size_t mm_mesh_places (const mm_mesh *m, const char *service,
                       mm_mesh_place *out, size_t cap); /* connected ones */
mm_remote *mm_mesh_submit (mm_mesh *m, const char *peer,
                           const mm_task_request *t, mm_work_done done,
                           void *ctx);          /* NULL: not connected */
void mm_mesh_cancel (mm_mesh *m, mm_remote *r); /* @done is not called */
/* Ask a peer, or tell it something when @told is NULL.  @told is called
   once; at once when there is no link.  */
void mm_mesh_ask (mm_mesh *m, const char *peer, uint32_t verb,
                  const void *data, size_t len, mm_time_ms timeout_ms,
                  mm_answered told, void *ctx);
/* A question of a peer, or what it tells (@reply NULL).  The reply is
   answered once, now or later.  */
typedef struct mm_mesh_reply mm_mesh_reply;
typedef void (*mm_mesh_asked) (void *ctx, uint32_t verb, const void *data,
                               size_t len, mm_mesh_reply *reply);
void mm_mesh_on_asked (mm_mesh *m, mm_mesh_asked asked, void *ctx);
void mm_mesh_answer (mm_mesh_reply *reply, const void *data, size_t len);
/* An update for all instances in touch.  @make writes the one for an instance
   that knows all up to an offset (0: nothing), and returns up to where it then
   knows it.  */
typedef uint64_t (*mm_mesh_update_for) (void *ctx, uint64_t known_upto,
                                        msgpack_sbuffer *out);
void mm_mesh_notify (mm_mesh *m, mm_mesh_update_for make, void *ctx,
                     const char *but_not); /* to all but one, or NULL */
void mm_mesh_notify_peer (mm_mesh *m, const char *peer,
                          mm_mesh_update_for make, void *ctx);
/* It knows the list up to @upto, whatever was sent to it.  */
void mm_mesh_set_known (mm_mesh *m, const char *peer, uint64_t upto);
/* @held_up_ms: how long it was on its way beyond what is usual.  */
typedef void (*mm_mesh_updated) (void *ctx, const char *peer, const void *data,
                                 size_t len, mm_time_ms held_up_ms);
void mm_mesh_on_update (mm_mesh *m, mm_mesh_updated updated, void *ctx);
/* Names of the instances in touch over links of either direction; free the
   list, not the names.  */
GList *mm_mesh_linked (const mm_mesh *m);
/* Keep a link to this instance for a while, neighbour or not; every known
   one with NULL.  */
void mm_mesh_need (mm_mesh *m, const char *peer);
bool mm_mesh_is_connected (const mm_mesh *m, const char *peer);
/* Names of the peers in touch; free the list, not the names.  */
GList *mm_mesh_peers (const mm_mesh *m);
/* Instances of a data centre, as seen over the links to them.  */
typedef struct
{
  uint32_t connected;
  uint32_t staying;     /* of these, not shutting down */
  uint32_t untried;     /* known, and no link to it was lost lately */
  mm_time_ms closed_ms; /* when one last closed its link, 0: never */
} mm_mesh_presence;

mm_mesh_presence mm_mesh_presence_in (const mm_mesh *m,
                                      const char *datacentre);
uint32_t mm_mesh_connected (const mm_mesh *m);       /* peers in touch */
uint32_t mm_mesh_inbound (const mm_mesh *m);         /* links from others */
mm_time_ms mm_mesh_report_pause_ms (uint32_t links); /* on each of these */
void mm_mesh_woke (mm_mesh *m); /* we stood still: every link is cut */
void mm_mesh_tick (mm_mesh *m); /* each MM_EXEC_TICK_MS */

#endif /* MM_MESH_H */
