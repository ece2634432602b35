/* mm_metrics: counters, gauges and latency histograms of this process, as
   text in the Prometheus exposition format.

   All series are listed in the tables of mm_metrics.c.  Durations are recorded
   in milliseconds and written in seconds, the base unit of that format.  */
#ifndef MM_METRICS_H
#define MM_METRICS_H

#include "config.h"
#include "masticmill.h"

/* The counters, which only increase.  The tables in mm_metrics.c give the name
   and meaning of each counter and gauge.  */
typedef enum
{
  MM_CT_JOBS_SUBMITTED,
  MM_CT_JOBS_COMPLETED,
  MM_CT_JOBS_FAILED,
  MM_CT_JOBS_CANCELLED,
  MM_CT_JOBS_GIVEN_UP,
  MM_CT_JOBS_UNKNOWN,
  MM_CT_JOBS_LEFT,
  MM_CT_JOBS_REFUSED_LATE,
  MM_CT_JOBS_REFUSED_OVERLOAD,
  MM_CT_JOBS_REFUSED_KIND,
  MM_CT_JOBS_REFUSED_OTHER,
  MM_CT_JOBS_REFUSED_MEMORY,
  MM_CT_JOBS_SHED_REJECT,
  MM_CT_JOBS_SHED_YIELD,
  MM_CT_TASKS_HANDED,
  MM_CT_RESERVATIONS,
  MM_CT_OFFERS,
  MM_CT_OFFERS_ACCEPTED,
  MM_CT_OFFERS_EXPIRED,
  MM_CT_TASKS_STARTED,
  MM_CT_TASKS_DONE,
  MM_CT_TASKS_FAILED,
  MM_CT_TASKS_STOPPED,
  MM_CT_TASKS_LOST,
  MM_CT_TASKS_NOT_RUN,
  MM_CT_TASKS_UNKNOWN,
  MM_CT_ORDERS_UNANSWERED,
  MM_CT_STARTS_REJECTED,
  MM_CT_ANSWERS_LATE,
  MM_CT_LEASES_LIMITED,
  MM_CT_HOLDS,
  MM_CT_HOLDS_FAILED,
  MM_CT_FENCED,
  MM_CT_FOREIGN_RUNS,
  MM_CT_EXCLUSIONS,
  MM_CT_UPSTREAM_CRASHES,
  MM_CT_LOSSES_LEFT_OUT,
  MM_CT_CAPACITY_CHANGES,
  MM_CT_CAPACITY_LOST,
  MM_CT_TASKS_SUSPECT,
  MM_CT_TASKS_GIVEN_UP,
  MM_CT_OWNERSHIP_CHANGES,
  MM_CT_HANDOVERS_TRANSFERRED,
  MM_CT_HANDOVERS_WAITED,
  MM_CT_PEERS_LOST,
  MM_CT_STALLS,
  MM_CT_CONFIG_OK,
  MM_CT_CONFIG_FAILED,
  MM_CT_LIST_OK,
  MM_CT_LIST_FAILED,
  MM_CT_LIST_UPDATES,
  MM_CT_JOIN_OK,
  MM_CT_JOIN_FAILED,
  MM_CT_MEMBERS_OK,
  MM_CT_MEMBERS_FAILED,
  MM_CT_APPENDS_OK,
  MM_CT_APPENDS_FAILED,
  MM_CT_KEPT_ACCEPTED,
  MM_CT_KEPT_REFUSED,
  MM_CT_KEPT_OVER,
  MM_CT_KEPT_LOST_SIGHT,
  MM_CT_CLIENTS_TOO_LARGE,
  MM_CT_CLIENTS_NO_MEMORY,
  MM_CT_CLIENTS_CLOSED,
  MM_CT_CLIENTS_OVERDUE,
  MM_CT_BYTES_CONFIG,
  MM_CT_BYTES_LIST,
  MM_CT_BYTES_JOIN,
  MM_CT_BYTES_MEMBERS,
  MM_CT_BYTES_RECORDS,
  MM_CT_COUNT
} mm_counter_id;

/* The gauges, which hold the value set last.  */
typedef enum
{
  MM_GG_JOBS_OPEN,
  MM_GG_UPSTREAMS_OWNED,
  MM_GG_PLACES,
  MM_GG_PLACES_FREE,
  MM_GG_TASKS_WAITING,
  MM_GG_RUNS,
  MM_GG_RUNS_UNSURE,
  MM_GG_CONFIG_VERSION,
  MM_GG_GENERATION,
  MM_GG_LIST_AGE,
  MM_GG_KEPT_OPEN,
  MM_GG_LOG_DROPPED,
  MM_GG_CALLER_CONNECTION_BYTES, /* of three, in the order of mm_budget_part */
  MM_GG_CALLER_BODY_BYTES,
  MM_GG_CALLER_JOB_BYTES,
  MM_GG_UPSTREAMS_LOST,
  MM_GG_EVACUATED,
  MM_GG_EVACUATED_RUNS,
  MM_GG_OVERLOADED, /* of MM_PRIORITY_LEVELS gauges the one of priority 0 */
  MM_GG_OVERLOADED_LAST = MM_GG_OVERLOADED + MM_PRIORITY_LEVELS - 1,
  MM_GG_COUNT
} mm_gauge_id;

/* The histograms of durations.  */
typedef enum
{
  MM_HG_JOB,         /* from submission to answer, of completed jobs */
  MM_HG_SHED_WAIT,   /* from submission to rejection, of shed jobs */
  MM_HG_QUEUE_WAIT,  /* from dispatch to an owner until the start is sent */
  MM_HG_RESERVATION, /* from reservations of a task until one is accepted */
  MM_HG_START_CALL,  /* from a start until its answer */
  MM_HG_TASK_RUN,    /* from a start until the end, of tasks that are done */
  MM_HG_RUN_STOP,    /* from the first stop of a run until its end */
  MM_HG_JOIN_CALL,   /* a call to the store that joins a group */
  /* From a task being ready until its start is sent, by which overload control
     decides.  */
  MM_HG_OVERLOAD_WAIT,
  /* From the last possible start at an upstream that is handed over until its
     next owner has found a run there.  */
  MM_HG_HANDOVER,
  MM_HG_START_VIEW, /* age of the list of upstreams at a start */
  MM_HG_COUNT
} mm_histogram_id;

/* Adds one to a counter.  */
void mm_metrics_count (mm_counter_id id);
/* Adds @n to a counter.  */
void mm_metrics_add (mm_counter_id id, uint64_t n);
/* Returns the value of a counter.  */
uint64_t mm_metrics_counter (mm_counter_id id);
/* Sets a gauge.  */
void mm_metrics_set (mm_gauge_id id, int64_t value);
/* Adds a duration to a histogram.  */
void mm_metrics_time (mm_histogram_id id, mm_time_ms ms);
/* Returns the number of durations in a histogram.  */
uint64_t mm_metrics_observed (mm_histogram_id id);
/* Returns all series as text; free with g_free().  */
char *mm_metrics_text (void);

#endif /* MM_METRICS_H */
