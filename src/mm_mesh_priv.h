/* mm_mesh_priv: what the parts of mm_mesh share.  Internal to it.  */
#ifndef MM_MESH_PRIV_H
#define MM_MESH_PRIV_H

#include "mm_link.h"
#include "mm_mesh.h"
#include "mm_mesh_msg.h"
#include "mm_queue_delay.h"

/* Another instance that is known, and the link to it.  */
typedef struct
{
  mm_mesh *mesh;
  mm_peer_info info;
  mm_link *link;
  bool listed;          /* as a holder of upstreams */
  mm_time_ms known_ms;  /* since when it is known */
  bool chosen;          /* a neighbour: to be linked to */
  bool connected;       /* a report has come over this link */
  bool leaving;         /* it is shutting down */
  mm_time_ms lost_ms;   /* when a link to it was last lost, 0: never */
  mm_time_ms needed_ms; /* until then it is linked to in any case */
  mm_requests *questions;
  mm_time_ms tried_ms;
  mm_time_ms beat_ms;
  uint64_t next_no;
  uint64_t seen_no;   /* highest task that its report counts */
  GHashTable *remote; /* no -> mm_remote */
  mm_mesh_room *rooms;
  size_t n_rooms;
  mm_time_ms report_ms;   /* when they came */
  uint64_t known_upto;    /* updates sent over this link */
  mm_queue_delay transit; /* of updates that come over it */
} mm_mesh_peer;

struct mm_remote
{
  mm_mesh_peer *peer;
  uint64_t no;
  mm_work_done done;
  void *ctx;
};

/* A link from another instance.  */
typedef struct
{
  mm_mesh *mesh;
  mm_link *link;
  GHashTable *works; /* no -> taken */
  GList *replies;    /* mm_mesh_reply that are owed */
  char *name;        /* of the sender, NULL: not told yet */
  uint64_t seen_no;
  mm_time_ms report_ms;
  GByteArray *last_report;
  uint64_t known_upto;    /* updates sent over this link */
  mm_queue_delay transit; /* of updates that come over it */
} mm_mesh_inbound_link;

struct mm_mesh_reply
{
  mm_mesh_inbound_link *to; /* NULL once its link is closed */
  uint64_t no;
};

struct mm_mesh
{
  struct ev_loop *loop;
  mm_owner *owner;
  char *self;
  char *datacentre;
  int listen_fd;
  ev_io accept_io;
  GHashTable *peers; /* name -> peer */
  GList *inbound;
  mm_mesh_hello hello;
  void *hello_ctx;
  mm_mesh_handed handed;
  void *handed_ctx;
  mm_mesh_updated updated;
  void *update_ctx;
  bool leaving;          /* told to the others */
  mm_suspects *suspects; /* NULL: not followed */
  mm_mesh_asked asked;
  void *asked_ctx;
  GHashTable *closed_ms; /* data centre -> when a link was closed */
  bool choose_again;     /* a peer came, went, or lost its link */
  mm_time_ms chosen_ms;  /* when neighbours were last chosen */
  bool chosen_up;        /* links to all of them are connected */
};

/* mm_mesh.c */
void mm_mesh_send_all (mm_mesh *m, const msgpack_sbuffer *b);

/* mm_mesh_adopt.c */
void mm_mesh_link_owner (mm_mesh *m);
void mm_mesh_take_found (mm_mesh_inbound_link *in, const mm_mesh_msg *q);

/* mm_mesh_ask.c */
void mm_mesh_take_ask (mm_mesh_inbound_link *in, const mm_mesh_msg *m);

/* mm_mesh_update.c */
void mm_mesh_take_update (mm_mesh *m, const char *peer,
                          mm_queue_delay *transit, const mm_mesh_msg *msg);

/* mm_mesh_loss.c */
void mm_mesh_take_loss (mm_mesh *m, const mm_mesh_msg *msg);
void mm_mesh_send_losses (mm_mesh *m, mm_link *link); /* all that is known */

/* mm_mesh_peers.c */
void mm_mesh_choose_neighbours (mm_mesh *m, mm_time_ms now);

#endif /* MM_MESH_PRIV_H */
