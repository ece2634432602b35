/* mm_mesh_priv: declarations shared by the sources of mm_mesh.  */
#ifndef MM_MESH_PRIV_H
#define MM_MESH_PRIV_H

#include "mm_link.h"
#include "mm_mesh.h"
#include "mm_mesh_msg.h"
#include "mm_queue_delay.h"

/* A known instance and the outbound link to it.  */
typedef struct
{
  mm_mesh *mesh;
  mm_mesh_peer_info info;
  mm_link *link;          /* to the peer, NULL: none */
  bool listed;            /* the member list names the peer as an owner */
  mm_time_ms known_ms;    /* when the peer was added */
  mm_time_ms unlisted_ms; /* when the list last ceased to name it, 0: never */
  bool revived;       /* added again by mm_mesh_reach_datacentre(), and neither
                         listed       nor connected since */
  bool wanted;        /* a link to the peer is wanted */
  bool connected;     /* a report was received over the link */
  bool leaving;       /* the peer reported that it is shutting down */
  mm_time_ms lost_ms; /* when a link was last lost, 0: never */
  mm_time_ms wanted_until_ms;   /* a link is wanted at least until then */
  mm_requests *requests;        /* requests sent, without an answer yet */
  mm_time_ms connect_tried_ms;  /* when connecting was last tried */
  mm_time_ms heartbeat_sent_ms; /* when the last heartbeat was sent */
  uint64_t last_number;     /* number of the last task sent over the link */
  uint64_t seen_number;     /* highest task number that the report counts */
  GHashTable *remote_tasks; /* task number -> mm_remote_task */
  GArray *unseen_reserves;  /* numbers of reservations after seen_number */
  /* The peer's last report, one entry per service.  */
  mm_mesh_service_capacity *capacities;
  size_t n_capacities;
  mm_upstream_kinds *kinds;   /* that the peer has, NULL: not known */
  mm_time_ms report_ms;       /* when the last report was received */
  mm_time_ms report_sent_ms;  /* when it was sent, by the peer's clock */
  uint64_t known_list_offset; /* offset of the upstream list up to which
                          updates were sent over the link */
  /* Queueing delay of the updates received over the link.  */
  mm_queue_delay queue_delay;
} mm_mesh_peer;

/* A peer that was dropped, as it was neither listed nor connected any more. */
typedef struct
{
  mm_mesh_peer_info info;
  mm_time_ms dropped_ms;
} mm_mesh_unlisted;

/* A task that was dispatched to a peer and whose end was not received yet.  */
struct mm_remote_task
{
  mm_mesh_peer *peer;
  uint64_t number;
  int64_t cpu_milli;
  bool yields; /* mm_task_request.yields */
  mm_work_done done;
  mm_work_offered offered; /* reservations: not accepted yet; else NULL */
  uint32_t copies;         /* reservations: owners with one for the task */
  void *ctx;
};

/* A link opened by another instance.  */
typedef struct mm_mesh_inbound_link mm_mesh_inbound_link;
struct mm_mesh_inbound_link
{
  mm_mesh *mesh;
  mm_link *link;
  GHashTable *tasks;    /* task number -> mm_mesh_inbound_task */
  GList *requests;      /* mm_mesh_inbound_request: requests to be answered */
  char *name;           /* of the sender, NULL until its HELLO */
  uint64_t seen_number; /* highest task number received */
  /* The sender's last heartbeat was sent at this time or later.  */
  mm_time_ms heard_ms;
  /* When the callers of the tasks received were last known to wait for
     them.  */
  mm_time_ms awaited_ms;
  mm_time_ms report_ms;       /* when the last report was sent */
  GByteArray *last_report;    /* the bytes of that report but its time */
  uint64_t kinds_version;     /* of the kinds sent last, 0: none were sent */
  uint64_t known_list_offset; /* offset of the upstream list up to which
                          updates were sent over the link */
  /* Queueing delay of the updates received over the link.  */
  mm_queue_delay queue_delay;
};

/* A task or reservation received over a link.  */
typedef struct
{
  mm_mesh_inbound_link *inbound;
  uint64_t number;
  mm_work *work;
} mm_mesh_inbound_task;

struct mm_mesh_inbound_request
{
  mm_mesh_inbound_link *to; /* link of the sender, NULL once closed */
  uint64_t number;          /* request number */
};

/* Each callback is NULL until it is set, and is called with the context that
   follows it.  */
struct mm_mesh
{
  struct ev_loop *loop;
  mm_owner *owner;
  char *self;       /* member name of this instance */
  char *datacentre; /* data centre of this instance */
  int listen_fd;
  ev_io accept_io;
  GHashTable *peers; /* name -> mm_mesh_peer */
  GQueue *unlisted;  /* mm_mesh_unlisted: dropped peers, oldest first */
  GList *inbound;    /* mm_mesh_inbound_link */
  mm_mesh_hello hello;
  void *hello_ctx;
  mm_mesh_released released;
  void *released_ctx;
  mm_mesh_updated updated;
  void *update_ctx;
  bool leaving;          /* reported to peers: this instance shuts down */
  bool transfer_runs;    /* planned handovers leave runs to the next owner */
  mm_suspects *suspects; /* NULL: losses of upstreams are not exchanged */
  mm_evacuations *evacuations; /* NULL: they are not exchanged */
  mm_mesh_request_received request_received;
  void *request_ctx;
  GHashTable *closed_ms; /* data centre -> when a peer last closed a link */
  bool neighbours_stale; /* peers or links changed: choose neighbours again */
  mm_time_ms neighbours_chosen_ms; /* when neighbours were last chosen */
  bool wanted_connected;           /* all wanted links are connected */
  ev_timer gained_timer;  /* reports upstreams that this instance has gained */
  msgpack_sbuffer kinds;  /* KINDS message with the kinds of this instance */
  uint64_t kinds_version; /* rises with each change of @kinds */
  mm_time_ms kinds_packed_ms; /* when @kinds was last brought up to date */
};

/* mm_mesh_peers.c */
void mm_mesh_unlisted_free (gpointer unlisted);

/* mm_mesh.c */
/* Sends packed messages to all connected peers.  */
void mm_mesh_send_all (mm_mesh *m, const msgpack_sbuffer *b);

/* Records a task that was received over a link.  Returns NULL if its number is
   in use for another one there.  */
mm_mesh_inbound_task *mm_mesh_add_inbound_task (mm_mesh_inbound_link *in,
                                                mm_mesh_msg *msg);
/* Sends the outcome of a task, @ctx, over the link on which it was
   received.  */
void mm_mesh_on_inbound_task_done (void *ctx, const mm_work_result *r);

/* mm_mesh_reserve.c */
void mm_mesh_handle_reserve (mm_mesh_inbound_link *in, mm_mesh_msg *msg);
void mm_mesh_handle_accept (mm_mesh_inbound_link *in, const mm_mesh_msg *msg);
void mm_mesh_handle_offer (mm_mesh_peer *p, const mm_mesh_msg *msg);
/* Forgets the reservations that the peer's report counts.  */
void mm_mesh_forget_seen_reserves (mm_mesh_peer *p);
/* Counts the reservations at a peer that its report does not count yet as
   waiting.  Returns the number of those that are not accepted, including those
   that have ended.  */
uint64_t mm_mesh_count_unseen_reserves (const mm_mesh_peer *p,
                                        mm_capacity_report *r);

/* mm_mesh_adopt.c */
/* Sets the callbacks of the owner that use the links.  */
void mm_mesh_attach_owner (mm_mesh *m);
/* @peer: name of the sender, NULL: not known yet.  */
void mm_mesh_handle_found (mm_mesh *m, const char *peer,
                           const mm_mesh_msg *msg);

/* mm_mesh_request.c */
void mm_mesh_handle_request (mm_mesh_inbound_link *in, const mm_mesh_msg *msg);

/* mm_mesh_update.c */
/* @peer: name of the sender, NULL: not known yet.  */
void mm_mesh_handle_update (mm_mesh *m, const char *peer,
                            mm_queue_delay *queue_delay,
                            const mm_mesh_msg *msg);

/* mm_mesh_loss.c */
void mm_mesh_handle_loss (mm_mesh *m, const mm_mesh_msg *msg);
void mm_mesh_send_losses (mm_mesh *m, mm_link *link); /* all known losses */

/* mm_mesh_kinds.c */
/* Brings the kinds of this instance up to date.  */
void mm_mesh_update_kinds (mm_mesh *m, mm_time_ms now);
/* Sends the kinds over a link unless they were sent there already.  */
void mm_mesh_send_kinds (mm_mesh_inbound_link *in);
/* Stores the kinds of a peer; takes them out of @msg.  */
void mm_mesh_handle_kinds (mm_mesh_peer *p, mm_mesh_msg *msg);

/* mm_mesh_evacuation.c */
/* @peer: name of the sender, NULL: not known yet.  */
void mm_mesh_handle_evacuations (mm_mesh *m, const char *peer,
                                 const mm_mesh_msg *msg);
void mm_mesh_send_evacuations (mm_mesh *m, mm_link *link);

/* mm_mesh_peers.c */
/* Decides to which of the known instances a link is wanted.  */
void mm_mesh_choose_neighbours (mm_mesh *m, mm_time_ms now);

#endif /* MM_MESH_PRIV_H */
