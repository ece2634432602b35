/* mm_suspects: detects poison tasks, which crash the upstreams that run them.

   Records the upstreams that were lost with tasks running, and whether each of
   them had crashed or was only unreachable.  From these losses it decides how
   a task may be run.  The module does no network calls itself.  Instances
   report losses to each other, so that the count of crashes survives the
   failure of an upstream's owner or of the instance that a caller uses.  */
#ifndef MM_SUSPECTS_H
#define MM_SUSPECTS_H

#include "mm_upstream_info.h"

/* What is known of a lost upstream.  */
typedef enum
{
  MM_LOSS_OPEN,    /* unresponsive: crashed or disconnected */
  MM_LOSS_CRASHED, /* another incarnation has its address or name */
  MM_LOSS_ALIVE    /* it answered again, or left as planned */
} mm_loss_verdict;
#define MM_LOSS_VERDICT_COUNT (MM_LOSS_ALIVE + 1) /* number of verdicts */

/* A lost upstream.  */
typedef struct
{
  const char *upstream; /* its name */
  int64_t born_ms;      /* mm_upstream_info.born_ms of the lost incarnation */
  const char *addr;     /* "ip:port" */
  mm_loss_verdict verdict;
  /* It was listed as draining, but @tasks, all of them unconfirmed, had just
     started there: it has not left as planned.  */
  bool draining;
  /* When it stopped answering, which is about when it crashed.  */
  mm_time_ms unresponsive_since_ms;
  /* Time from the last start of @tasks there until then; far longer than
     MM_SUSPECTS_AFTER_START_MS if no start is known.  */
  mm_time_ms after_start_ms;
  /* How many times the incarnation has been lost, this loss included; 0: as
     seen by this instance, which counts it.  */
  uint32_t occurrence;
  mm_time_ms verdict_ms; /* when @verdict was known first; 0: now */
  const uint64_t *tasks; /* mm_task_hash() of the tasks that ran there */
  size_t n_tasks;
  /* The last ones of @tasks, which may not have run when the upstream was
     lost: their starts got no answer, or they had failed shortly before.  */
  size_t n_unconfirmed;
  /* Those that ran there and had started no more than
     MM_SUSPECTS_AFTER_START_MS before.  */
  const uint64_t *just_started;
  size_t n_just_started;
} mm_loss;

/* How a task may be run.  */
typedef enum
{
  MM_SUSPECT_RUN,     /* not suspect */
  MM_SUSPECT_ISOLATE, /* run it isolated from other suspects */
  MM_SUSPECT_WAIT,    /* do not start it until more is known of the losses */
  /* Do not run it before its crashes expire.  They are as many as a poison
     task may cause, but do not prove that it is one.  */
  MM_SUSPECT_POSTPONE,
  MM_SUSPECT_GIVE_UP /* poison task: do not run it again */
} mm_suspect_action;

typedef struct mm_suspects mm_suspects;

/* A loss was added or changed.  */
typedef void (*mm_suspects_changed) (void *ctx, const mm_loss *l);

/* Creates an empty record of losses; free with mm_suspects_destroy().  */
mm_suspects *mm_suspects_create (void);
void mm_suspects_destroy (mm_suspects *s);
/* Sets the callback for losses that are added or changed.  */
void mm_suspects_on_changed (mm_suspects *s, mm_suspects_changed changed,
                             void *ctx);
/* Hash that identifies a task in messages and records of losses.  */
uint64_t mm_task_hash (const mm_task_id *id);
/* Records that an upstream was lost, as seen by this or by another instance;
   @l is copied.  */
void mm_suspects_record (mm_suspects *s, const mm_loss *l);
/* Records that this incarnation of an upstream answers.  @born_ms: as in
   mm_loss.  */
void mm_suspects_alive (mm_suspects *s, const char *upstream, int64_t born_ms);
/* Updates losses from an entry of the upstream list: another incarnation at
   the address or with the name of a lost upstream proves a crash.  */
void mm_suspects_listed (mm_suspects *s, const mm_upstream_info *u);
/* Decides from the recorded losses how a task may be run.  */
mm_suspect_action mm_suspects_decide (const mm_suspects *s,
                                      const mm_task_id *task);
/* Returns whether a task of a job may start while @n_isolated suspect tasks of
   that job run.  Only one runs at a time: the first poison task that is found
   ends the job, so that the others crash no more upstreams.  */
bool mm_suspect_may_run (mm_suspect_action a, uint32_t n_isolated);
/* Number of upstreams that crashed while they ran the task.  */
uint32_t mm_suspects_count_crashes (const mm_suspects *s,
                                    const mm_task_id *task);
/* Names of the upstreams that crashed while they ran the task; g_free().  */
char *mm_suspects_crashed_names (const mm_suspects *s, const mm_task_id *task);
/* Number of recorded losses without those that are MM_LOSS_ALIVE.  */
size_t mm_suspects_count (const mm_suspects *s);
/* Calls @each for every recorded loss.  */
void mm_suspects_foreach (const mm_suspects *s, mm_suspects_changed each,
                          void *ctx);
void mm_suspects_tick (mm_suspects *s); /* removes old losses */

#endif /* MM_SUSPECTS_H */
