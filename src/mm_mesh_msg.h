/* mm_mesh_msg: the messages between instances, as msgpack arrays.

   Each array begins with the kind of the message, an mm_mesh_kind.  Tasks and
   requests carry a number that their sender chose.  The number of a task is
   unique on its link; the first task there has number 1.

   From the instance that opened the link, which dispatches tasks, to the owner
   of upstreams at the other end:

   - [HELLO, name]

     The first message: the sender's member name.

   - [RUN, number, job, step, index, service, payload, label, data_label,
     avoid_upstream, cpu_milli, mem_mb, gpus, priority, estimate_ms,
     due_within_ms, start_within_ms, kept, running_at, run, ran_ms, isolated,
     silent_ms, yields]

     A task to run; the values after the number are fields of
     mm_task_request.

   - [RESERVE, number, copies, job, ..., yields]

     A task for which the receiver is to offer capacity; the values after
     copies are those of a RUN, without a payload.  copies: number of owners
     that hold a reservation for the task.

   - [ACCEPT, number, payload]

     The receiver's offer is accepted: the task of the reservation is to be
     run.  It is ignored when the reservation has ended.

   - [CANCEL, number]

     The task is to be stopped, or the reservation to be dropped.

   - [HEARTBEAT, echo_ms, echo_age_ms, silent_ms]

     Sent each MM_MESH_HEARTBEAT_MS, as the receiver closes a link that
     carries no message for MM_MESH_TIMEOUT_MS.  echo_ms: sent_ms of the last
     report received, 0 for none; echo_age_ms: time since it was received.
     silent_ms: time since all callers of the tasks that the sender dispatched
     or transferred were last known to wait.

   - [REQUEST, number, verb, bytes]

     A request about kept jobs; number 0: a notification.

   - [RELEASED, group]

     Partitions of the group were released: they have a new owner.

   - [FOUND, upstream, run, job, step, index, fence]

     The sender found this run at an upstream that it owns.  The instance that
     has the task dispatches it to the sender.

   In the other direction:

   - [ENDED, number, how, upstream, ran_ms, why, run]

     The outcome of a task; the values after the number are fields of
     mm_work_result.

   - [OFFER, number]

     Capacity is set aside for the reservation, for MM_OFFER_MS.

   - [ANSWER, number, bytes]

     The answer to a request.

   - [REPORT, seen_number, name, leaving, [[service, places, free, waiting,
     task_ms, [waiting of each priority], unit_milli, n_upstreams, [size of
     each residual capacity], [starts a second of each priority], [least wait
     of each priority]], ...], sent_ms]

     The capacity for each service on the sender's upstreams; name is the
     sender's member name.  The report counts all tasks received over this
     link; seen_number is the highest number of these tasks.  sent_ms is by the
     sender's clock.

   - [KINDS, [[service, [label, ...], cpu_milli, mem_mb, gpus], ...]]

     The kinds of the upstreams that may get new tasks at the sender.  Sent
     before the first report and when they have changed.

   In both directions:

   - [UPDATE, sent_ms, bytes]

     A change of the upstream list; sent_ms is by the sender's clock.

   - [LOSS, upstream, addr, verdict, unresponsive_for_ms, occurrence,
      [task hash, ...], n_unconfirmed, after_start_ms, verdict_for_ms,
      born_ms, draining, [task hash, ...]]

     An upstream was lost while it ran these tasks.  The last n_unconfirmed of
     them may not have run.  draining: see mm_loss.  Then come the tasks that
     had just started.  The message holds for how long the upstream was
     unresponsive and the verdict known, and not since when, as the clocks of
     two instances differ.

   - [EVACUATIONS, offset, age_ms, [[datacentre, for_ms], ...]]

     The evacuations in force at the sender, an mm_evacuations_view.  Sent when
     a link opens and when they change.  */
#ifndef MM_MESH_MSG_H
#define MM_MESH_MSG_H

#include "mm_owner.h"

#include <msgpack.h>

/* Kinds of messages, by their numbers on the wire.  */
typedef enum
{
  MM_MESH_RUN = 1,
  MM_MESH_CANCEL = 2,
  MM_MESH_HEARTBEAT = 3,
  MM_MESH_ENDED = 4,
  MM_MESH_REPORT = 5,
  MM_MESH_HELLO = 6,
  MM_MESH_REQUEST = 7,
  MM_MESH_ANSWER = 8,
  MM_MESH_RELEASED = 9,
  MM_MESH_FOUND = 10,
  MM_MESH_UPDATE = 11,
  MM_MESH_LOSS = 12,
  MM_MESH_EVACUATIONS = 13,
  MM_MESH_RESERVE = 14,
  MM_MESH_OFFER = 15,
  MM_MESH_ACCEPT = 16,
  MM_MESH_KINDS = 17
} mm_mesh_kind;

/* Most services in a report; further ones are left out.  */
#define MM_MESH_MAX_SERVICES 64
/* A message with more evacuated data centres is not valid.  */
#define MM_MESH_MAX_EVACUATIONS 256

/* The capacity for one service, as in a report.  */
typedef struct
{
  char service[64];
  mm_capacity_report capacity;
} mm_mesh_service_capacity;

/* A message that was read.  The comment of a field names the kinds of messages
   that have it.  */
typedef struct
{
  mm_mesh_kind kind;
  /* RUN, RESERVE, OFFER, ACCEPT, CANCEL, ENDED: of the task; REQUEST, ANSWER:
     of the request; REPORT: highest task number received.  */
  uint64_t number;
  /* RUN, RESERVE; ACCEPT: only the payload.  Owns the strings.  */
  mm_task_request request;
  uint32_t copies;       /* RESERVE */
  mm_work_result result; /* ENDED; owns the strings */
  char *name;            /* HELLO, REPORT: of the sender; RELEASED: group */
  bool leaving;          /* REPORT: the sender is shutting down */
  mm_mesh_service_capacity *capacities; /* REPORT */
  size_t n_capacities;
  mm_found_run found;     /* FOUND; owns the upstream's name */
  uint32_t verb;          /* REQUEST */
  mm_time_ms sent_ms;     /* UPDATE, REPORT */
  mm_time_ms echo_ms;     /* HEARTBEAT */
  mm_time_ms echo_age_ms; /* HEARTBEAT */
  mm_time_ms silent_ms;   /* HEARTBEAT */
  mm_loss loss;           /* LOSS; owns the strings and the task hashes */
  mm_evacuations_view evacuations; /* EVACUATIONS */
  mm_upstream_kinds *kinds;        /* KINDS */
  /* REQUEST, ANSWER, UPDATE: the bytes carried.  They are not copied: valid
     only as long as the msgpack object that was read.  */
  const void *data;
  size_t len;
} mm_mesh_msg;

/* Returns false when @o is not a valid message.  Clear @out with
   mm_mesh_msg_clear(), also after a failure.  */
bool mm_mesh_msg_read (const msgpack_object *o, mm_mesh_msg *out);
/* Frees what mm_mesh_msg_read() allocated for the message.  */
/* Returns the name of a message about the sender's state, NULL for any other
   message.  One that cannot be read is ignored, as nobody waits for it.  */
const char *mm_mesh_msg_state_name (const mm_mesh_msg *m);
void mm_mesh_msg_clear (mm_mesh_msg *m);
/* Each mm_mesh_pack_ function appends one message to @b.  */
void mm_mesh_pack_run (msgpack_sbuffer *b, uint64_t number,
                       const mm_task_request *t);
/* Packs a RESERVE; the payload of @t is left out.  */
void mm_mesh_pack_reserve (msgpack_sbuffer *b, uint64_t number,
                           uint32_t copies, const mm_task_request *t);
void mm_mesh_pack_offer (msgpack_sbuffer *b, uint64_t number);
void mm_mesh_pack_accept (msgpack_sbuffer *b, uint64_t number,
                          const char *payload);
void mm_mesh_pack_cancel (msgpack_sbuffer *b, uint64_t number);
void mm_mesh_pack_hello (msgpack_sbuffer *b, const char *name);
void mm_mesh_pack_heartbeat (msgpack_sbuffer *b, mm_time_ms echo_ms,
                             mm_time_ms echo_age_ms, mm_time_ms silent_ms);
void mm_mesh_pack_ended (msgpack_sbuffer *b, uint64_t number,
                         const mm_work_result *r);
/* Packs a report without its last value, which mm_mesh_pack_report_time()
   appends: reports that differ in nothing else are not sent.  */
void mm_mesh_pack_report (msgpack_sbuffer *b, uint64_t seen_number,
                          const char *name, bool leaving,
                          const mm_mesh_service_capacity *capacities,
                          size_t n);
void mm_mesh_pack_report_time (msgpack_sbuffer *b, mm_time_ms sent_ms);
void mm_mesh_pack_kinds (msgpack_sbuffer *b, const mm_upstream_kinds *kinds);
void mm_mesh_pack_released (msgpack_sbuffer *b, const char *group);
void mm_mesh_pack_found (msgpack_sbuffer *b, const mm_found_run *r);
void mm_mesh_pack_loss (msgpack_sbuffer *b, const mm_loss *l);
void mm_mesh_pack_evacuations (msgpack_sbuffer *b,
                               const mm_evacuations_view *v);
void mm_mesh_pack_request (msgpack_sbuffer *b, uint64_t number, uint32_t verb,
                           const void *data, size_t len);
void mm_mesh_pack_update (msgpack_sbuffer *b, mm_time_ms sent_ms,
                          const void *data, size_t len);
void mm_mesh_pack_answer (msgpack_sbuffer *b, uint64_t number,
                          const void *data, size_t len);

#endif /* MM_MESH_MSG_H */
