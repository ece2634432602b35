/* mm_kept_priv: declarations shared by the sources of mm_kept.  */
#ifndef MM_KEPT_PRIV_H
#define MM_KEPT_PRIV_H

#include "mm_home.h"
#include "mm_home_directory.h"
#include "mm_task_search.h"
#include "mm_partitions.h"

/* A request of a caller at this instance.  */
typedef struct mm_kept_request mm_kept_request;

struct mm_kept
{
  int refs;    /* one of the creator, one per request in progress */
  bool closed; /* mm_kept_destroy() was called */
  mm_kept_deps deps;
  mm_time_ms created_ms;        /* when mm_kept_create() was called */
  mm_partitions *partitions;    /* those assigned to this instance */
  mm_home_directory *directory; /* the homes of all partitions */
  GList *waiting;   /* mm_kept_request whose home is not known or reachable */
  mm_home **home;   /* home for each partition; NULL: not at this instance */
  bool *superseded; /* for each partition: the store has refused the home's
                       epoch, as another instance wrote with a higher one */
  mm_task_search *search; /* searches for the tasks in doubt of all homes */
  mm_time_ms search_started_ms; /* start of the latest search */
  /* Set of ids of jobs whose home was asked whether it needs the ends of
     foreign runs, and has not answered yet.  A foreign run was started by an
     earlier owner of its upstream.  */
  GHashTable *foreign_pending;
  mm_time_ms foreign_checked_ms; /* when foreign runs were last checked */
  mm_time_ms overdue_checked_ms; /* when all overdue ends last were */
  bool leaving;
  mm_time_ms leaving_ms; /* when mm_kept_leave() was called */
};

/* Drops a reference and frees @k with the last one.  */
void mm_kept_unref (mm_kept *k);
/* The home of a job, NULL when it is not at this instance.  */
mm_home *mm_kept_home_of (const mm_kept *k, const char *job_id);

/* Whether this instance owns the partition, the store has confirmed the
   instance's membership of the group within MM_GROUP_CONFIRMED_MS, and the
   home's jobs are current.  */
bool mm_kept_home_confirmed (const mm_kept *k, uint32_t partition);

/* mm_kept_foreign.c: checks the jobs of all foreign runs whose ends are held
   here, each MM_KEPT_FOREIGN_PAUSE_MS, and those of overdue ends, each
   MM_UNACKED_END_OVERDUE_MS.  Drops the ends that no home needs; a home at
   another instance is asked first.  */
void mm_kept_resolve_foreign (mm_kept *k, mm_time_ms now);
/* mm_kept_foreign.c: sets @out to the state of a job, or to MM_KEPT_BUSY
   unless this instance is confirmed as the job's home: a superseded home does
   not know the jobs that its successor has accepted.  */
void mm_kept_answer_foreign (const mm_kept *k, const char *job_id,
                             mm_kept_answer *out);

/* mm_kept_foreign.c: removes from @tasks, a mm_task_set, those that are not
   stored as done at a home here.  @a: the answer about their job.  */
void mm_kept_keep_stored (const mm_kept *k, const mm_kept_answer *a,
                          GHashTable *tasks);

/* mm_kept_request.c: retries the requests that wait for their home, or refuses
   them when @k is closed.  */
void mm_kept_retry_requests (mm_kept *k);

/* mm_kept_peer.c: handles a request of another instance, or a notification if
   @request is NULL.  @verb: mm_kept_verb.  */
void mm_kept_on_peer_request (void *ctx, uint32_t verb, const void *data,
                              size_t len, mm_mesh_inbound_request *request);

#endif /* MM_KEPT_PRIV_H */
