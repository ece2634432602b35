/* mm_mesh_msg: the messages between instances, as msgpack arrays.

   From the instance that took a job to the owner of upstreams:
     [RUN, no, job, step, index, service, payload, label, data_label, avoid,
      cpu_milli, mem_mb, gpus, priority, estimate_ms, due_within_ms,
   start_within_ms, kept, running_at, run, ran_ms, apart] [CANCEL, no] [BEAT]
     [HELLO, name]                 first of all
     [ASK, no, verb, bytes]        about kept jobs; no 0: without an answer
   Back:
     [ENDED, no, how, upstream, ran_ms, why, run]
     [TOLD, no, bytes]             answers an ASK
     [REPORT, seen_no, name, leaving,
      [[service, places, free, waiting, task_ms, [waiting of each priority]],
       ...]]
     [HANDED, group]               partitions of it have a new holder
     [FOUND, upstream, run, job, step, index, fence]
                                   it runs there: whose is it?
   Both ways:
     [UPDATE, sent_ms, bytes]      sent_ms by the sender's clock
     [LOSS, upstream, addr, verdict, silent_for_ms, [mark, ...]]
                                   an upstream was lost, with these tasks  */
#ifndef MM_MESH_MSG_H
#define MM_MESH_MSG_H

#include "mm_owner.h"

#include <msgpack.h>

typedef enum
{
  MM_MESH_RUN = 1,
  MM_MESH_CANCEL = 2,
  MM_MESH_BEAT = 3,
  MM_MESH_ENDED = 4,
  MM_MESH_REPORT = 5,
  MM_MESH_HELLO = 6,
  MM_MESH_ASK = 7,
  MM_MESH_TOLD = 8,
  MM_MESH_HANDED = 9,
  MM_MESH_FOUND = 10,
  MM_MESH_UPDATE = 11,
  MM_MESH_LOSS = 12
} mm_mesh_kind;

#define MM_MESH_MAX_SERVICES 64 /* rows of a report that are read */

typedef struct
{
  char service[64];
  mm_capacity_report room;
} mm_mesh_room;

typedef struct
{
  mm_mesh_kind kind;
  uint64_t no; /* RUN, CANCEL, ENDED, ASK, TOLD; REPORT: highest RUN seen */
  mm_task_request request; /* RUN; strings are copies, see _clear */
  mm_work_result result;   /* ENDED; strings are copies, see _clear */
  char *name;              /* REPORT, HELLO: of the sender; HANDED: group */
  bool leaving;            /* REPORT: it is shutting down */
  mm_mesh_room *rooms;     /* REPORT */
  size_t n_rooms;
  mm_found_run found; /* FOUND; its upstream is a copy, see _clear */
  uint32_t verb;      /* ASK */
  mm_time_ms sent_ms; /* UPDATE */
  mm_loss loss;       /* LOSS; copies, see _clear */
  const void *data;   /* ASK, TOLD, UPDATE: valid while the message is */
  size_t len;
} mm_mesh_msg;

bool mm_mesh_msg_read (const msgpack_object *o, mm_mesh_msg *out);
void mm_mesh_msg_clear (mm_mesh_msg *m); /* free what _read copied */
void mm_mesh_pack_run (msgpack_sbuffer *b, uint64_t no,
                       const mm_task_request *t);
void mm_mesh_pack_cancel (msgpack_sbuffer *b, uint64_t no);
void mm_mesh_pack_hello (msgpack_sbuffer *b, const char *name);
void mm_mesh_pack_beat (msgpack_sbuffer *b);
void mm_mesh_pack_ended (msgpack_sbuffer *b, uint64_t no,
                         const mm_work_result *r);
void mm_mesh_pack_report (msgpack_sbuffer *b, uint64_t seen_no,
                          const char *name, bool leaving,
                          const mm_mesh_room *rooms, size_t n);
void mm_mesh_pack_handed (msgpack_sbuffer *b, const char *group);
void mm_mesh_pack_found (msgpack_sbuffer *b, const mm_found_run *r);
void mm_mesh_pack_loss (msgpack_sbuffer *b, const mm_loss *l);
void mm_mesh_pack_ask (msgpack_sbuffer *b, uint64_t no, uint32_t verb,
                       const void *data, size_t len);
void mm_mesh_pack_update (msgpack_sbuffer *b, mm_time_ms sent_ms,
                          const void *data, size_t len);
void mm_mesh_pack_told (msgpack_sbuffer *b, uint64_t no, const void *data,
                        size_t len);

#endif /* MM_MESH_MSG_H */
