/* mm_mesh: links to the other instances.

   Over them an instance dispatches tasks to the owners of upstreams, sends
   requests and updates, and receives reports of free capacity.  */
#ifndef MM_MESH_H
#define MM_MESH_H

#include "mm_evacuations.h"
#include "mm_owner.h"
#include "mm_requests.h"

#include <msgpack.h>

typedef struct mm_mesh mm_mesh;
typedef struct mm_remote_task mm_remote_task; /* a task dispatched to a peer */

/* An instance, as the member list describes it.  */
typedef struct
{
  char *name;       /* member name, of this incarnation */
  char *addr;       /* "ip:port" of its mesh socket */
  char *datacentre; /* its own data centre */
  bool is_standby;  /* standby: owns upstreams of another data centre */
} mm_mesh_peer_info;

void mm_mesh_peer_info_clear (gpointer info); /* frees the strings */

/* A connected instance and the capacity for a service in its last report.  */
typedef struct
{
  const char *name;
  const char *datacentre;
  /* As reported, less the tasks dispatched to it since the report.  */
  mm_capacity_report capacity;
  mm_time_ms age_ms;              /* age of the report */
  const mm_upstream_kinds *kinds; /* of its upstreams, NULL: not known */
} mm_mesh_peer_capacity;

/* Creates the mesh and listens for other instances on @host, an IP address,
   and @port; returns NULL on error.  @owner must outlive the mesh.  */
mm_mesh *mm_mesh_create (struct ev_loop *loop, const char *self,
                         const char *datacentre, const char *host,
                         uint16_t port, mm_owner *owner, GError **error);
/* Closes all links, which ends the tasks dispatched to peers as in doubt, and
   frees the mesh.  */
void mm_mesh_destroy (mm_mesh *m);
/* An instance has opened a link to this one; @name is its member name.  */
typedef void (*mm_mesh_hello) (void *ctx, const char *name);
void mm_mesh_on_hello (mm_mesh *m, mm_mesh_hello hello, void *ctx);
/* The instance that owned partitions of a group has released them.  */
typedef void (*mm_mesh_released) (void *ctx, const char *group);
void mm_mesh_on_released (mm_mesh *m, mm_mesh_released released, void *ctx);
/* Notifies all peers that this instance has released partitions of @group, so
   that their next owners call the store at once.  */
void mm_mesh_notify_released (mm_mesh *m, const char *group);
/* Exchanges reports of lost upstreams with the peers, and records them in @s,
   which must outlive the mesh.  */
void mm_mesh_set_suspects (mm_mesh *m, mm_suspects *s);
/* Exchanges the evacuations in force with each peer when a link to it opens;
   @e must outlive the mesh.  */
void mm_mesh_set_evacuations (mm_mesh *m, mm_evacuations *e);
/* Sends the evacuations in force to all peers.  */
void mm_mesh_notify_evacuations (mm_mesh *m);
void mm_mesh_set_leaving (mm_mesh *m); /* reports the shutdown to peers */
/* Adds an instance, or records that it is a standby; @p is copied.  */
void mm_mesh_add_peer (mm_mesh *m, const mm_mesh_peer_info *p);
/* Sets the list of the other instances; @peers is copied.  A peer that is not
   listed any more is kept while it is connected.  */
void mm_mesh_set_peers (mm_mesh *m, const mm_mesh_peer_info *peers, size_t n);
/* Fills @out, an array of @cap entries, with the capacity of each connected
   peer for a service.  Returns the number of entries filled.  */
size_t mm_mesh_peer_capacities (const mm_mesh *m, const char *service,
                                mm_mesh_peer_capacity *out, size_t cap);
/* Dispatches a task to a peer.  Returns a handle that is valid until @done is
   called or the task is cancelled, or NULL when the peer is not connected.  */
mm_remote_task *mm_mesh_submit (mm_mesh *m, const char *peer,
                                const mm_task_request *t, mm_work_done done,
                                void *ctx);
/* Reserves at a peer for a task, whose payload is sent with mm_mesh_accept().
   @copies: owners at which the task has reservations.  @offered: called when
   the peer has set capacity aside.  Until mm_mesh_accept(), a link that closes
   ends the reservation as not run.  Returns a handle as mm_mesh_submit().  */
mm_remote_task *mm_mesh_reserve (mm_mesh *m, const char *peer,
                                 const mm_task_request *t, uint32_t copies,
                                 mm_work_offered offered, mm_work_done done,
                                 void *ctx);
/* Accepts the peer's offer: the task is bound to the peer.  */
void mm_mesh_accept (mm_mesh *m, mm_remote_task *r, const char *payload);
/* Cancels a dispatched task or a reservation and frees @r; its @done is not
 * called.  */
void mm_mesh_cancel (mm_mesh *m, mm_remote_task *r);
/* Sends a request to a peer, or a notification when @answered is NULL.  @verb:
   what is requested, an mm_kept_verb.  @answered is called once; it is called
   with @ok false when no answer comes within @timeout_ms or the link closes,
   and during this call when the peer is not connected.  */
void mm_mesh_request (mm_mesh *m, const char *peer, uint32_t verb,
                      const void *data, size_t len, mm_time_ms timeout_ms,
                      mm_answered answered, void *ctx);
/* A request of a peer that has no answer yet.  */
typedef struct mm_mesh_inbound_request mm_mesh_inbound_request;
/* A request was received, or a notification (@request NULL).  A request must
   be answered exactly once with mm_mesh_answer(), during the call or after
   it.  */
typedef void (*mm_mesh_request_received) (void *ctx, uint32_t verb,
                                          const void *data, size_t len,
                                          mm_mesh_inbound_request *request);
void mm_mesh_on_request (mm_mesh *m, mm_mesh_request_received received,
                         void *ctx);
/* Sends the answer to a request, unless its link has closed, and frees the
   request.  */
void mm_mesh_answer (mm_mesh_inbound_request *request, const void *data,
                     size_t len);
/* Writes the update for an instance that knows the upstream list up to offset
   @known_list_offset (0: it knows nothing).  Returns the offset up to which
   that instance knows the list with this update.  */
typedef uint64_t (*mm_mesh_build_update) (void *ctx,
                                          uint64_t known_list_offset,
                                          msgpack_sbuffer *out);
/* Sends an update to each connected instance but @except, which may be
   NULL.  */
void mm_mesh_notify (mm_mesh *m, mm_mesh_build_update build, void *ctx,
                     const char *except);
/* Sends an update to one instance, if it is connected.  */
void mm_mesh_notify_peer (mm_mesh *m, const char *peer,
                          mm_mesh_build_update build, void *ctx);
/* Records that the peer knows the upstream list up to offset
   @known_list_offset, whatever was sent to it before.  */
void mm_mesh_set_known_list_offset (mm_mesh *m, const char *peer,
                                    uint64_t known_list_offset);
/* An update of @peer was received.  @queue_delay_ms: how much longer it took
   than the fastest recent update over the same link.  */
typedef void (*mm_mesh_updated) (void *ctx, const char *peer, const void *data,
                                 size_t len, mm_time_ms queue_delay_ms);
void mm_mesh_on_update (mm_mesh *m, mm_mesh_updated updated, void *ctx);
/* Names of the instances connected over a link of either direction; free the
   list, not the names.  */
GList *mm_mesh_linked (const mm_mesh *m);
/* Keeps a link to @peer for MM_MESH_LINK_KEEP_MS, whether or not the peer is a
   neighbour.  NULL: keeps a link to every known instance.  */
void mm_mesh_require_link (mm_mesh *m, const char *peer);
/* Sets whether planned handovers leave runs to the next owner of an upstream;
   all instances must have the same setting.  */
void mm_mesh_set_transfer_runs (mm_mesh *m, bool transfer_runs);
/* Links to the instances that may get upstreams of a data centre.  */
typedef struct
{
  uint32_t linked;   /* this instance is connected to them */
  uint32_t unlinked; /* it is not, and they may run */
  uint32_t joined;   /* of those linked: became known lately */
} mm_mesh_links;

mm_mesh_links mm_mesh_links_in (const mm_mesh *m, const char *datacentre);
/* Keeps a link to each of these instances for MM_MESH_LINK_KEEP_MS.  */
void mm_mesh_require_links_in (mm_mesh *m, const char *datacentre);
/* Returns whether a report of the peer was received over this instance's link
   to it.  */
bool mm_mesh_is_connected (const mm_mesh *m, const char *peer);
/* Names of the connected peers; free the list, not the names.  */
GList *mm_mesh_peers (const mm_mesh *m);
/* The instances of a data centre, as seen over the links to them.  */
typedef struct
{
  uint32_t connected;   /* connected peers */
  uint32_t staying;     /* connected and not shutting down */
  uint32_t untried;     /* known instances that may own upstreams and to which
                           no link was lost within MM_NEIGHBOUR_LOST_MS */
  mm_time_ms closed_ms; /* when a peer there last closed its link, 0: never */
  mm_time_ms lost_ms;   /* when a link there was last lost, 0: never */
} mm_mesh_presence;

mm_mesh_presence mm_mesh_presence_in (const mm_mesh *m,
                                      const char *datacentre);
/* Tries to link to the instances of a data centre that were dropped in the
   last MM_MESH_UNLISTED_KEEP_MS, as they were not listed any more.  */
void mm_mesh_reach_datacentre (mm_mesh *m, const char *datacentre);
uint32_t mm_mesh_connected (const mm_mesh *m); /* number of connected peers */
/* Number of links from other instances.  */
uint32_t mm_mesh_inbound (const mm_mesh *m);
/* Least time between two reports on the same inbound link, while there are
   @links inbound links.  */
mm_time_ms mm_mesh_report_pause_ms (uint32_t links);
void mm_mesh_close_links (mm_mesh *m); /* closes all links, after a stall */
void mm_mesh_tick (mm_mesh *m);        /* call each MM_EXEC_TICK_MS */

#endif /* MM_MESH_H */
