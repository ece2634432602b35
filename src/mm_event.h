/* mm_event: the events that a process logs, one JSON line each.

   One table in mm_event.c lists all events and their fields; docs/LOGS.md is
   generated from it.  A line has the name of the event, its fields in the
   order of the table, and "left_out": the number of earlier lines of this
   event that its rate limit left out.  */
#ifndef MM_EVENT_H
#define MM_EVENT_H

#include "masticmill.h"

typedef enum
{
  MM_EV_STARTED,
  MM_EV_STOPPING,
  MM_EV_STOPPED,
  MM_EV_RELOAD,
  MM_EV_STALLED,
  MM_EV_STORE_REACHED,
  MM_EV_STORE_LOST,
  MM_EV_CONFIG_APPLIED,
  MM_EV_CONFIG_REFUSED,
  MM_EV_LIST_BEHIND,
  MM_EV_LIST_KNOWN,
  MM_EV_UPSTREAM_LISTED,
  MM_EV_UPSTREAM_DRAINING,
  MM_EV_UPSTREAM_CAPACITY,
  MM_EV_UPSTREAM_GONE,
  MM_EV_GROUP_CHANGED,
  MM_EV_STANDBY,
  MM_EV_PREDECESSOR,
  MM_EV_PEER_REACHED,
  MM_EV_PEER_LOST,
  MM_EV_SENDER_LOST,
  MM_EV_UPSTREAM_OWNED,
  MM_EV_UPSTREAM_FENCED,
  MM_EV_UPSTREAM_SUSPECT,
  MM_EV_UPSTREAM_BACK,
  MM_EV_UPSTREAM_EXCLUDED,
  MM_EV_UPSTREAM_TRUSTED,
  MM_EV_UPSTREAM_LOST,
  MM_EV_JOB_ACCEPTED,
  MM_EV_JOB_REFUSED,
  MM_EV_JOB_ANSWERED,
  MM_EV_JOB_CALLER_LEFT,
  MM_EV_JOBS_FENCED,
  MM_EV_JOBS_LOADED,
  MM_EV_JOBS_HANDED_OVER,
  MM_EV_KEPT_ACCEPTED,
  MM_EV_KEPT_REFUSED,
  MM_EV_KEPT_UNSURE,
  MM_EV_KEPT_OVER,
  MM_EV_KEPT_LOST_SIGHT,
  MM_EV_KEPT_FOUND,
  MM_EV_TASK_HANDED,
  MM_EV_TASK_STARTED,
  MM_EV_TASK_ORDER_UNANSWERED,
  MM_EV_TASK_STARTED_DRAINING,
  MM_EV_TASK_FOREIGN,
  MM_EV_TASK_ADOPTED,
  MM_EV_TASK_STOPPED,
  MM_EV_TASK_RETURNED,
  MM_EV_TASK_ENDED,
  MM_EV_TASK_FAILED,
  MM_EV_TASK_SUSPECT,
  MM_EV_TASK_GIVEN_UP,
  MM_EV_COUNT
} mm_event;

typedef enum
{
  MM_FIELD_TEXT,
  MM_FIELD_INT,
  MM_FIELD_TASK /* two fields: the id of the job, "STEP.INDEX" of the task */
} mm_field_type;

typedef struct
{
  mm_field_type type;
  const char *text; /* TEXT: the value; TASK: the job; NULL gives null */
  int64_t number;   /* INT: the value; TASK: the step */
  int64_t index;    /* TASK: index within the step */
} mm_field;

#define MM_TEXT(v) ((mm_field){ .type = MM_FIELD_TEXT, .text = (v) })
#define MM_INT(v) ((mm_field){ .type = MM_FIELD_INT, .number = (int64_t)(v) })
#define MM_TASK(id)                                                           \
  ((mm_field){ .type = MM_FIELD_TASK,                                         \
               .text = (id)->job,                                             \
               .number = (id)->step,                                          \
               .index = (id)->index })

/* Logs an event.  The values are exactly the fields that the table lists.  */
#define mm_log_event(event, ...)                                              \
  mm_event_write ((event), (const mm_field[]){ __VA_ARGS__ },                 \
                  sizeof ((const mm_field[]){ __VA_ARGS__ })                  \
                      / sizeof (mm_field))

void mm_event_write (mm_event event, const mm_field *fields, size_t n);
const char *mm_event_name (mm_event event);
/* One JSON object and the table as Markdown; free both with g_free().  */
char *mm_event_line (mm_event event, const mm_field *fields, size_t n,
                     uint64_t left_out);
char *mm_event_table_markdown (void);
/* The number of calls whose values didn't match the table.  Each is a bug.  */
uint64_t mm_event_mismatches (void);

#endif /* MM_EVENT_H */
