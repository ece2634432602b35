/* mm_reservation_set: the reservations of one task at several owners.

   The task is bound to the owner whose offer comes first; the reservations at
   the others are cancelled.  An owner starts nothing before its offer is
   accepted, so the task has not run while none is.  */
#ifndef MM_RESERVATION_SET_H
#define MM_RESERVATION_SET_H

#include "mm_owner.h"

typedef struct mm_reservation_set mm_reservation_set;

/* Calls to the owners.  @owner: its name, NULL: this instance.  */
typedef struct
{
  /* Reserves for a task; returns a handle that is valid until @done or
     cancel(), or NULL when the owner is not connected.  @offered may be called
     during the call, @done only after it.  */
  void *(*reserve) (void *ctx, const char *owner, const mm_task_request *t,
                    uint32_t copies, mm_work_offered offered,
                    mm_work_done done, void *done_ctx);
  void (*accept) (void *ctx, const char *owner, void *handle,
                  const char *payload);
  void (*cancel) (void *ctx, const char *owner, void *handle);
  void *ctx;
} mm_reservation_port;

/* Reserves for a task, which is copied, at @owners in this order, at most
   MM_RESERVATIONS_MAX.  NULL in @owners is this instance.  @done is called
   once, after this function has returned, unless the set is cancelled.
   Returns NULL when no owner is connected.  Free with
   mm_reservation_set_destroy(), also during @done.  */
mm_reservation_set *mm_reservation_set_create (const mm_reservation_port *port,
                                               const mm_task_request *t,
                                               const char *const *owners,
                                               size_t n, mm_work_done done,
                                               void *ctx);
/* Cancels what is open, without a call of @done, and frees the set.  */
void mm_reservation_set_destroy (mm_reservation_set *s);
/* Returns whether an offer was accepted: the task may have started.  */
bool mm_reservation_set_accepted (const mm_reservation_set *s);
/* Returns whether mm_reservation_set_expire() is due: all reservations have
   ended, or no offer came for MM_RESERVATION_MS.  */
bool mm_reservation_set_is_due (const mm_reservation_set *s, mm_time_ms now);
/* Cancels what is open, and calls @done: the task was not run.  */
void mm_reservation_set_expire (mm_reservation_set *s);

#endif /* MM_RESERVATION_SET_H */
