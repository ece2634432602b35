/* mm_event: the events that a process logs, one JSON line each.

   One table in mm_event.c lists all events and their fields; docs/LOGS.md is
   generated from it.  A line has the name of the event, its fields in the
   order of the table, and "left_out": the number of earlier lines of this
   event that its rate limit left out.  */
#ifndef MM_EVENT_H
#define MM_EVENT_H

#include "masticmill.h"

/* The events; the table in mm_event.c gives the name and meaning of each.  */
typedef enum
{
  MM_EV_STARTED,
  MM_EV_STOPPING,
  MM_EV_STOPPED,
  MM_EV_RELOAD,
  MM_EV_STALLED,
  MM_EV_CLIENT_REFUSED,
  MM_EV_LOOP_GAP,
  MM_EV_STORE_REACHED,
  MM_EV_STORE_LOST,
  MM_EV_CONFIG_APPLIED,
  MM_EV_CONFIG_REFUSED,
  MM_EV_EVACUATION_BEGUN,
  MM_EV_EVACUATION_IN_FORCE,
  MM_EV_EVACUATION_ENDED,
  MM_EV_EVACUATION_IGNORED,
  MM_EV_LIST_BEHIND,
  MM_EV_LIST_KNOWN,
  MM_EV_UPSTREAM_LISTED,
  MM_EV_UPSTREAM_DRAINING,
  MM_EV_UPSTREAM_CAPACITY,
  MM_EV_UPSTREAM_GONE,
  MM_EV_GROUP_CHANGED,
  MM_EV_HANDOVER,
  MM_EV_STANDBY,
  MM_EV_PREDECESSOR,
  MM_EV_PEER_REACHED,
  MM_EV_PEER_LOST,
  MM_EV_PEER_MESSAGE_UNREAD,
  MM_EV_SENDER_LOST,
  MM_EV_UPSTREAM_OWNED,
  MM_EV_UPSTREAM_FENCED,
  MM_EV_UPSTREAM_SUSPECT,
  MM_EV_UPSTREAM_BACK,
  MM_EV_UPSTREAM_RESTARTED,
  MM_EV_UPSTREAM_ENDS,
  MM_EV_LEASES_LIMITED,
  MM_EV_UPSTREAM_EXCLUDED,
  MM_EV_UPSTREAM_TRUSTED,
  MM_EV_UPSTREAM_LOST,
  MM_EV_LOSS_LEFT_OUT,
  MM_EV_OVERLOAD_BEGUN,
  MM_EV_OVERLOAD_ENDED,
  MM_EV_OVERLOAD_REFUSED,
  MM_EV_JOB_ACCEPTED,
  MM_EV_JOB_REFUSED,
  MM_EV_JOB_SHED,
  MM_EV_JOB_ANSWERED,
  MM_EV_JOB_CALLER_LEFT,
  MM_EV_JOBS_CHECKED,
  MM_EV_JOBS_FENCED,
  MM_EV_JOBS_LOADED,
  MM_EV_JOBS_HANDED_OVER,
  MM_EV_KEPT_ACCEPTED,
  MM_EV_KEPT_REFUSED,
  MM_EV_KEPT_UNSURE,
  MM_EV_KEPT_OVER,
  MM_EV_KEPT_LOST_SIGHT,
  MM_EV_KEPT_FOUND,
  MM_EV_KEPT_SEARCH_WAITS,
  MM_EV_TASK_HANDED,
  MM_EV_TASK_RESERVED,
  MM_EV_TASK_OFFERED,
  MM_EV_TASK_OFFER_ACCEPTED,
  MM_EV_TASK_OFFER_DROPPED,
  MM_EV_TASK_STARTED,
  MM_EV_TASK_ORDER_UNANSWERED,
  MM_EV_TASK_ORDER_LATE,
  MM_EV_TASK_START_RESOLVED,
  MM_EV_TASK_STARTED_DRAINING,
  MM_EV_TASK_FOREIGN,
  MM_EV_TASK_ADOPTED,
  MM_EV_TASK_STOPPED,
  MM_EV_TASK_RUN_OVER,
  MM_EV_TASK_OTHER_RUN,
  MM_EV_TASK_REJECTED,
  MM_EV_TASK_RETURNED,
  MM_EV_TASK_ENDED,
  MM_EV_TASK_FAILED,
  MM_EV_TASK_SUSPECT,
  MM_EV_TASK_GIVEN_UP,
  MM_EV_COUNT
} mm_event;

/* Type of a value, as JSON.  */
typedef enum
{
  MM_FIELD_TEXT, /* a string or null */
  MM_FIELD_INT,  /* an integer */
  MM_FIELD_TASK  /* two strings: the job's id, "STEP.INDEX" of the task */
} mm_field_type;

/* A value of an event.  Which members are used depends on its type.  */
typedef struct
{
  mm_field_type type;
  const char *text; /* TEXT: the value, NULL for null; TASK: the job's id */
  int64_t number;   /* INT: the value; TASK: the step of the job */
  int64_t index;    /* TASK: index of the task within the step */
} mm_field;

/* Values for mm_log_event(): a text or NULL, an integer, the address of an
   mm_task_id.  */
#define MM_TEXT(v) ((mm_field){ .type = MM_FIELD_TEXT, .text = (v) })
#define MM_INT(v) ((mm_field){ .type = MM_FIELD_INT, .number = (int64_t)(v) })
#define MM_TASK(id)                                                           \
  ((mm_field){ .type = MM_FIELD_TASK,                                         \
               .text = (id)->job,                                             \
               .number = (id)->step,                                          \
               .index = (id)->index })

/* Logs an event.  The values are those that the table lists for it, in the
   same order; one MM_TASK() stands for the two fields "job" and "task".  */
#define mm_log_event(event, ...)                                              \
  mm_event_write ((event), (const mm_field[]){ __VA_ARGS__ },                 \
                  sizeof ((const mm_field[]){ __VA_ARGS__ })                  \
                      / sizeof (mm_field))

/* Logs an event within its rate limit, for mm_log_event().  */
void mm_event_write (mm_event event, const mm_field *fields, size_t n);
/* Returns the name of an event in the log, such as "task_ended".  */
const char *mm_event_name (mm_event event);
/* Returns the line of an event, one JSON object without a newline; free with
   g_free().  @left_out: number of lines that the rate limit left out.  */
char *mm_event_line (mm_event event, const mm_field *fields, size_t n,
                     uint64_t left_out);
/* Returns the table of events as Markdown, for docs/LOGS.md; free with
   g_free().  */
char *mm_event_table_markdown (void);
/* Returns the number of calls of mm_log_event() with more or fewer values than
   the table lists.  Each such call is a bug.  */
uint64_t mm_event_mismatches (void);

#endif /* MM_EVENT_H */
