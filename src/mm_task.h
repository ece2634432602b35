/* mm_task: resources of a task, its id, the outcome of a run, and the request
   to run a task.  */
#ifndef MM_TASK_H
#define MM_TASK_H

#include "masticmill.h"

/* Resources of an upstream, or of one task.  */
typedef struct
{
  int64_t cpu_milli; /* thousandths of a core */
  int64_t mem_mb;
  int64_t gpus;
} mm_resources;

/* Returns whether @required fits into @capacity.  */
bool mm_resources_fit (const mm_resources *required,
                       const mm_resources *capacity);
void mm_resources_add (mm_resources *sum,
                       const mm_resources *required); /* sum += required */
void mm_resources_sub (mm_resources *sum,
                       const mm_resources *required); /* sum -= required */

#define MM_JOB_ID_MAX 40 /* maximum length of a job id, in bytes */

/* Identifies one task of one job.  */
typedef struct
{
  char job[MM_JOB_ID_MAX + 1];
  uint32_t step;  /* number of the step in the job, from 0 */
  uint32_t index; /* number of the task in its step, from 0 */
} mm_task_id;

/* Functions for a GHashTable whose keys are mm_task_id.  */
guint mm_task_id_hash (gconstpointer id);
gboolean mm_task_id_equal (gconstpointer a, gconstpointer b);

/* How a request to run a task ended.  */
typedef enum
{
  MM_END_DONE,    /* ran to its end */
  MM_END_FAILED,  /* ran and failed */
  MM_END_STOPPED, /* stopped by an order, on request or as a precaution */
  MM_END_LOST,    /* upstream lost or lease expired; certainly not running */
  MM_END_NOT_RUN, /* returned by the owner, never started */
  MM_END_UNKNOWN  /* in doubt: may run for the rest of its lease */
} mm_end;
#define MM_END_COUNT (MM_END_UNKNOWN + 1) /* number of values of mm_end */

const char *mm_end_name (mm_end end); /* such as "done" */

/* A request to an owner of upstreams to run one task once.  A kept job is a
   durable job: it is stored before its caller is told that it is accepted, and
   run to its end whatever instance dies.  */
typedef struct
{
  mm_task_id id;
  const char *service;        /* service of the upstreams that may run it */
  const char *payload;        /* opaque to the dispatcher */
  const char *label;          /* label that the upstream must have, or NULL */
  const char *data_label;     /* label of upstreams near its data, or NULL */
  const char *avoid_upstream; /* name of an upstream not to use, or NULL */
  mm_resources resources;
  bool kept;         /* of a kept job: its home acknowledges its end */
  bool isolated;     /* suspected of crashing its upstreams */
  bool yields;       /* goes behind tasks of any priority that do not yield */
  uint32_t attempt;  /* number of earlier attempts that failed */
  uint32_t priority; /* 0 is the highest */
  mm_time_ms estimate_ms;     /* declared run time, not binding */
  mm_time_ms waited_ms;       /* time spent in queues so far */
  mm_time_ms due_within_ms;   /* ms from now; orders tasks of equal priority */
  mm_time_ms start_within_ms; /* ms from now; after that returned as not run */
  mm_time_ms useful_within_ms; /* ms from now; a reservation does not wait
                                  longer, 0: not limited; not sent to peers */
  /* Upstream where the task runs already, to be adopted there; or NULL.  */
  const char *running_at;
  uint32_t run;      /* with running_at: its run number there */
  mm_time_ms ran_ms; /* with running_at: run time so far */
  /* When its caller was last known to wait.  Points to a time that the mesh
     updates, valid until the task ends or is cancelled.  NULL: the caller is
     connected to this instance, see mm_owner_set_input_read().  */
  const mm_time_ms *awaited_ms;
  /* With running_at: time since @awaited_ms when the request was sent.  */
  mm_time_ms silent_ms;
} mm_task_request;

#endif /* MM_TASK_H */
