/* mm_event: the table of events, and the output of their log lines.  */
#include "mm_event.h"

#include "config.h"
#include "mm_log_sink.h"

#include <string.h>

#define MAX_FIELDS 12 /* no event has more fields */

/* Rate limit of the lines of one event.  */
typedef enum
{
  RATE_HIGH, /* failures and changes of state: MM_LOG_RATE_HIGH a second */
  RATE_LOW   /* routine events: MM_LOG_RATE_LOW a second */
} rate_limit;

/* An event in the table.  */
typedef struct
{
  const char *name; /* value of "event" in the line */
  rate_limit rate;
  const char *fields;  /* names of the fields, separated by spaces */
  const char *meaning; /* for operators, shown in docs/LOGS.md */
} event_row;

static const event_row table[MM_EV_COUNT] = {
  [MM_EV_STARTED] = { "started", RATE_HIGH, "instance datacentre address",
                      "The process accepts jobs." },
  [MM_EV_STOPPING]
  = { "stopping", RATE_HIGH, "signal", "A graceful shutdown starts." },
  [MM_EV_STOPPED] = { "stopped", RATE_HIGH, "open_jobs open_connections",
                      "The process ends." },
  [MM_EV_RELOAD]
  = { "reload", RATE_HIGH, "signal outcome",
      "A signal asked to read the settings again; outcome says what was "
      "done." },
  [MM_EV_CLIENT_REFUSED]
  = { "client_refused", RATE_LOW, "port why bytes connections",
      "A request was refused, or a connection closed, for what it cost; "
      "nothing of the request was done. port is that of the server, bytes the "
      "size of the body so far or as announced." },
  [MM_EV_STALLED]
  = { "stalled", RATE_HIGH, "gap_ms open_jobs busy_ms",
      "The process was stalled for gap_ms; its open jobs are given up. It "
      "handled events for the first busy_ms of these." },
  [MM_EV_LOOP_GAP]
  = { "loop_gap", RATE_HIGH, "gap_ms open_jobs busy_ms",
      "The process read no input for gap_ms, which is less than a stall: what "
      "it reads now may be older than it looks by up to that. It handled "
      "events for the first busy_ms of these." },
  [MM_EV_STORE_REACHED]
  = { "store_reached", RATE_HIGH, "what",
      "Reads from the store succeed, at first or again." },
  [MM_EV_STORE_LOST]
  = { "store_lost", RATE_HIGH, "what why",
      "A read from the store failed. The data read before stays in use." },
  [MM_EV_CONFIG_APPLIED] = { "config_applied", RATE_HIGH, "version queues",
                             "A configuration is in force." },
  [MM_EV_CONFIG_REFUSED]
  = { "config_refused", RATE_HIGH, "version in_force",
      "The configuration that was read is older than the one in force, and "
      "is ignored." },
  [MM_EV_EVACUATION_BEGUN]
  = { "evacuation_begun", RATE_HIGH, "datacentre peer view_ms",
      "This instance knows that the data centre is evacuated and starts no "
      "more tasks there. It has read that from the store, or received it from "
      "peer, as of a read sent view_ms ago." },
  [MM_EV_EVACUATION_IN_FORCE]
  = { "evacuation_in_force", RATE_HIGH, "datacentre took_ms upstreams runs",
      "The orders to start tasks in the evacuated data centre that were "
      "under way are answered, took_ms after the evacuation was known. Of its "
      "upstreams owned here, runs go on to their end." },
  [MM_EV_EVACUATION_ENDED]
  = { "evacuation_ended", RATE_HIGH, "datacentre for_ms peer view_ms",
      "The data centre is back in service, for_ms after its evacuation was "
      "known; peer and view_ms as in evacuation_begun." },
  [MM_EV_EVACUATION_IGNORED]
  = { "evacuation_ignored", RATE_HIGH, "key why",
      "The request to evacuate a data centre under this key of the store is "
      "not followed. What was requested there before stays in force." },
  [MM_EV_LIST_BEHIND]
  = { "list_behind", RATE_HIGH, "age_ms",
      "This instance owns upstreams, and last read their list to its "
      "end age_ms ago." },
  [MM_EV_LIST_KNOWN]
  = { "list_known", RATE_HIGH, "behind_ms",
      "The list of upstreams was read to its end again; behind_ms is "
      "how long it was not." },
  [MM_EV_UPSTREAM_LISTED]
  = { "upstream_listed", RATE_HIGH,
      "upstream service address draining peer view_ms",
      "An upstream is new in the list or its entry changed. The list "
      "was read view_ms ago, by this instance (peer is null) or by the "
      "peer." },
  [MM_EV_UPSTREAM_DRAINING]
  = { "upstream_draining", RATE_HIGH, "upstream runs last_start_ms",
      "The upstream is draining: its owner starts no more tasks there. "
      "The last start was sent last_start_ms ago (-1: none was sent)." },
  [MM_EV_UPSTREAM_CAPACITY]
  = { "upstream_capacity", RATE_HIGH,
      "upstream cpu_milli before used mem_mb gpus",
      "The capacity of the upstream changed, and its owner starts tasks "
      "there within the new one. before and used are thousandths of a "
      "core, as cpu_milli." },
  [MM_EV_UPSTREAM_GONE]
  = { "upstream_gone", RATE_HIGH, "upstream missing_ms",
      "The upstream was missing from the list for missing_ms and counts "
      "as gone." },
  [MM_EV_GROUP_CHANGED]
  = { "group_changed", RATE_HIGH, "group generation ours leaving",
      "The store reassigned the partitions of the group. ours is how many "
      "are assigned to this instance, leaving how many it releases." },
  [MM_EV_HANDOVER]
  = { "handover", RATE_HIGH,
      "datacentre step waited_ms candidates runs open_starts in_doubt foreign "
      "kept "
      "unresponsive unlinked store_ms",
      "What the handover of upstreams of the data centre does next: wait_runs "
      "(until the runs have ended), wait_links (to the possible next owners, "
      "unlinked of which have none), wait_starts (until open_starts are "
      "answered) or release (the runs go on under the next owner). It began "
      "waited_ms ago; the last join took store_ms, -1 if it failed. "
      "candidates "
      "are the linked instances that may be the next owner, unresponsive the "
      "busy upstreams that do not answer. The other fields count the runs." },
  [MM_EV_STANDBY]
  = { "standby", RATE_HIGH, "datacentre closed_ms absent_ms",
      "The instances of the data centre are gone, and this instance is "
      "a standby: it owns a part of the upstreams there.  They closed their "
      "links this long ago, or the store has not listed them for so long." },
  [MM_EV_PREDECESSOR]
  = { "predecessor", RATE_HIGH, "group member",
      "A previous incarnation of this instance was still a member of "
      "the group and is removed from it." },
  [MM_EV_PEER_REACHED]
  = { "peer_reached", RATE_HIGH, "peer address",
      "The link to another instance is open: tasks can be dispatched to "
      "it." },
  [MM_EV_PEER_LOST]
  = { "peer_lost", RATE_HIGH, "peer why tasks silent_ms",
      "The link to another instance ended. The tasks that this instance "
      "dispatched to it are in doubt. The last bytes came over it silent_ms "
      "ago." },
  [MM_EV_PEER_MESSAGE_UNREAD]
  = { "peer_message_unread", RATE_HIGH, "peer message",
      "A message of another instance about its state could not be read and "
      "is ignored: update, report, kinds, loss or evacuations." },
  [MM_EV_SENDER_LOST]
  = { "sender_lost", RATE_HIGH, "why tasks sender silent_ms",
      "The link from another instance ended. The tasks that it "
      "dispatched to this instance are stopped. That instance was last known "
      "to wait for them silent_ms ago." },
  [MM_EV_UPSTREAM_OWNED]
  = { "upstream_owned", RATE_HIGH, "upstream fence",
      "The upstream accepted the fencing token of this instance: tasks "
      "can start there." },
  [MM_EV_UPSTREAM_FENCED]
  = { "upstream_fenced", RATE_HIGH, "upstream fence",
      "The upstream has seen a higher fencing token, so the token of "
      "this instance is void." },
  [MM_EV_UPSTREAM_SUSPECT]
  = { "upstream_suspect", RATE_HIGH, "upstream call verdict",
      "A call to the upstream failed, with this verdict. No task starts "
      "there until a call succeeds." },
  [MM_EV_UPSTREAM_BACK]
  = { "upstream_back", RATE_HIGH, "upstream", "The upstream answers again." },
  [MM_EV_UPSTREAM_RESTARTED]
  = { "upstream_restarted", RATE_HIGH, "upstream fence runs after_ms",
      "The upstream has started again under the same name, after_ms after "
      "its earlier start. Its runs are lost; the fencing token of this "
      "instance, fence, is raised by one." },
  [MM_EV_UPSTREAM_ENDS]
  = { "upstream_ends", RATE_HIGH, "upstream complete listed unacked oldest_ms",
      "The upstream lists only the first of its ends from now on (complete "
      "0), or all of them again (1). The others follow once the first are "
      "acknowledged: unacked of them wait until their jobs are stored, the "
      "oldest for oldest_ms. Until then no task that is searched for is taken "
      "for one that does not run there." },
  [MM_EV_LEASES_LIMITED]
  = { "leases_limited", RATE_HIGH,
      "job task upstream run left_ms stopping_ms runs",
      "This run must end within left_ms, and leases at the upstream are not "
      "renewed beyond that. Its stop was first ordered stopping_ms ago (-1: "
      "it is not being stopped, but the instance of its caller has not been "
      "heard lately). No task starts there until the run has ended or that "
      "instance is heard again. runs is the number of runs there." },
  [MM_EV_UPSTREAM_EXCLUDED]
  = { "upstream_excluded", RATE_HIGH, "upstream failures for_ms",
      "Consecutive tasks failed at the upstream; its circuit breaker is "
      "open, and it gets no task for for_ms." },
  [MM_EV_UPSTREAM_TRUSTED]
  = { "upstream_trusted", RATE_HIGH, "upstream",
      "A task ended well at an upstream whose circuit breaker was "
      "half-open; the breaker is closed." },
  [MM_EV_UPSTREAM_LOST]
  = { "upstream_lost", RATE_HIGH, "upstream verdict tasks why",
      "An upstream was lost, or more is known of its loss. tasks is how many "
      "ran there or may have. verdict is open until it is known whether the "
      "upstream crashed or is alive; why says how that is known." },
  [MM_EV_LOSS_LEFT_OUT]
  = { "loss_left_out", RATE_HIGH, "upstream recorded",
      "The loss of the upstream is not recorded, because the record is "
      "full: it holds this many losses. The tasks that ran there do not "
      "become suspects." },
  [MM_EV_OVERLOAD_BEGUN]
  = { "overload_begun", RATE_HIGH,
      "service priority least_wait_ms target_ms waiting starts_per_s places "
      "owners age_ms for_ms",
      "Tasks of this priority have waited for longer than target_ms for a "
      "whole window, for_ms by now. least_wait_ms is weighted by the places "
      "of the owners that measured it; waiting and starts_per_s are their "
      "sums, age_ms is the age of the oldest of their reports." },
  [MM_EV_OVERLOAD_ENDED]
  = { "overload_ended", RATE_HIGH,
      "service priority least_wait_ms target_ms waiting starts_per_s places "
      "owners age_ms for_ms",
      "The overload of this priority, which lasted for_ms, has ended: the "
      "least wait was below half of target_ms for a whole window. Fields as "
      "in overload_begun." },
  [MM_EV_OVERLOAD_REFUSED]
  = { "overload_refused", RATE_HIGH,
      "job queue priority waiting_same starts_per_s overloaded_for_ms age_ms "
      "wait_ms slack_ms retry_after_s",
      "The job is refused (job_refused follows) because of the measured start "
      "rate of its priority: waiting_same tasks of it wait. Without overload "
      "control the job would have been accepted." },
  [MM_EV_JOB_ACCEPTED]
  = { "job_accepted", RATE_LOW,
      "job queue config_version tasks places free waiting age_ms "
      "wait_ms slack_ms",
      "The job was accepted, at the capacity known then; age_ms is the "
      "age of the oldest report used." },
  [MM_EV_JOB_REFUSED]
  = { "job_refused", RATE_HIGH,
      "job queue config_version tasks places free waiting age_ms "
      "wait_ms slack_ms why",
      "The job was refused, at the capacity known then; none of its "
      "tasks ran. age_ms is the age of the oldest report used." },
  [MM_EV_JOB_SHED]
  = { "job_shed", RATE_HIGH,
      "job queue verdict waited_ms on_time_in_ms useful_in_ms wait_ms "
      "overloaded_for_ms places waiting age_ms",
      "The decision on an accepted job of which no task has started: reject "
      "(answered as refused, it has not run and will not run), yield (its "
      "tasks go behind those that can be on time) or keep (it yields no "
      "longer). It can start on time for on_time_in_ms more, and usefully for "
      "useful_in_ms; negative values are in the past. wait_ms is its expected "
      "wait, overloaded_for_ms the overload of its priority (0: none); age_ms "
      "is the age of the oldest report used." },
  [MM_EV_JOB_ANSWERED]
  = { "job_answered", RATE_HIGH, "job queue outcome took_ms why",
      "The callers of the job got their answer." },
  [MM_EV_JOB_CALLER_LEFT]
  = { "job_caller_left", RATE_HIGH, "job queue took_ms",
      "The last caller of the job closed its connection; the tasks are "
      "stopped." },
  [MM_EV_JOBS_CHECKED]
  = { "jobs_checked", RATE_HIGH, "partition epoch since open",
      "Another instance may have been the home of the kept jobs of this "
      "partition before generation 'since'; this instance starts none of "
      "their tasks until the store has accepted a record of this epoch." },
  [MM_EV_JOBS_FENCED]
  = { "jobs_fenced", RATE_HIGH, "partition epoch",
      "Another instance is the home of the kept jobs of this partition; "
      "this instance stops serving them." },
  [MM_EV_JOBS_LOADED]
  = { "jobs_loaded", RATE_HIGH, "partition epoch jobs open",
      "This instance is the home of the kept jobs of this partition and "
      "has read them from the store." },
  [MM_EV_JOBS_HANDED_OVER]
  = { "jobs_handed_over", RATE_HIGH, "partition open",
      "This instance handed the kept jobs of this partition over and is "
      "no longer their home." },
  [MM_EV_KEPT_ACCEPTED]
  = { "kept_accepted", RATE_LOW, "job queue tasks partition took_ms",
      "The kept job is stored, and its caller has the answer." },
  [MM_EV_KEPT_REFUSED]
  = { "kept_refused", RATE_HIGH, "job partition why",
      "A request about a kept job was refused; nothing was done." },
  [MM_EV_KEPT_UNSURE]
  = { "kept_unsure", RATE_HIGH, "job partition why",
      "The caller of a kept job was told to send the request again: it "
      "is not known whether the job was stored." },
  [MM_EV_KEPT_OVER]
  = { "kept_over", RATE_HIGH, "job queue outcome took_ms",
      "The outcome of the kept job is stored and can be read." },
  [MM_EV_KEPT_LOST_SIGHT]
  = { "kept_lost_sight", RATE_HIGH, "job tasks why",
      "Tasks of the kept job are in doubt. They are searched for at all "
      "upstreams before any of them starts again." },
  [MM_EV_KEPT_FOUND]
  = { "kept_found", RATE_HIGH, "job tasks",
      "Every upstream has answered the search; tasks that are not done "
      "are dispatched again." },
  [MM_EV_KEPT_SEARCH_WAITS]
  = { "kept_search_waits", RATE_HIGH,
      "tasks present upstream list_known waited_ms",
      "For waited_ms, no search for tasks in doubt has shown that none of "
      "them is left: some are present, the upstream list is not known "
      "(list_known 0), or no owner has answered for the upstream." },
  [MM_EV_TASK_HANDED]
  = { "task_handed", RATE_LOW, "job task owner free waiting age_ms attempt",
      "The task was dispatched to this owner of upstreams." },
  [MM_EV_TASK_RESERVED]
  = { "task_reserved", RATE_LOW,
      "job task owners nearest free waiting age_ms attempt",
      "No owner of upstreams reported free capacity for the task, or one "
      "returned it: it has reservations at so many owners. nearest is the "
      "first of them, with its report." },
  [MM_EV_TASK_OFFERED]
  = { "task_offered", RATE_LOW, "job task upstream waited_ms owners",
      "Capacity at the upstream is set aside for a reservation that waited "
      "here, and offered to the instance that made it. owners is how many "
      "have a reservation for the task." },
  [MM_EV_TASK_OFFER_ACCEPTED]
  = { "task_offer_accepted", RATE_LOW, "job task owner waited_ms open",
      "The task is bound to this owner, which offered capacity waited_ms "
      "after the reservations were made. The open ones at other owners are "
      "cancelled." },
  [MM_EV_TASK_OFFER_DROPPED]
  = { "task_offer_dropped", RATE_HIGH, "job task upstream offered_ms why",
      "Capacity that was set aside for an offer is free again, offered_ms "
      "after the offer. If the offer was not accepted in time, the "
      "reservation has ended; otherwise it waits for capacity elsewhere." },
  [MM_EV_TASK_STARTED]
  = { "task_started", RATE_HIGH,
      "job task upstream run fence waited_ms view_ms lease_ms",
      "The owner sent the start of the task to an upstream. The list of "
      "upstreams was last known to be current view_ms ago. The leases "
      "there last for lease_ms from now, by this instance's clock, and are "
      "renewed later." },
  [MM_EV_TASK_ORDER_UNANSWERED]
  = { "task_order_unanswered", RATE_HIGH,
      "job task upstream run call took_ms unsent_ms overrun_ms",
      "A start or stop of the task got no answer within took_ms. The upstream "
      "may have carried it out or may do so later. The order was sent after "
      "unsent_ms (-1: it was not); the timeout was noticed overrun_ms late, "
      "for which time this process handled no events." },
  [MM_EV_TASK_ORDER_LATE]
  = { "task_order_late", RATE_LOW,
      "job task upstream run call took_ms unsent_ms answered_ms",
      "The answer to a start or stop came after its timeout, took_ms after "
      "the order, which was sent after unsent_ms. By its clock, the upstream "
      "answered it answered_ms after the order." },
  [MM_EV_TASK_START_RESOLVED]
  = { "task_start_resolved", RATE_HIGH, "job task upstream run how after_ms",
      "What became of a start that got no answer, after_ms after it was "
      "ordered: the upstream lists the run (it runs), does not list it (it is "
      "sent again, once), or leaves that open (it is stopped). Or a start was "
      "refused because a run of that number or a higher one had ended there; "
      "it is sent with this number instead." },
  [MM_EV_TASK_STARTED_DRAINING]
  = { "task_started_draining", RATE_HIGH,
      "job task upstream run verdict ordered_ms sent_ms",
      "The upstream was listed as draining, or its data centre was "
      "evacuated, before it answered the "
      "start, which was ordered ordered_ms ago and last sent sent_ms "
      "ago." },
  [MM_EV_TASK_FOREIGN]
  = { "task_foreign", RATE_HIGH, "job task upstream run fence lists_ms",
      "A run that an earlier owner started was found at the upstream. "
      "It is stopped unless it is adopted. The list that shows it was asked "
      "for lists_ms ago." },
  [MM_EV_TASK_ADOPTED]
  = { "task_adopted", RATE_HIGH, "job task upstream run fence ran_ms",
      "A run that an earlier owner started goes on under this owner, "
      "for the instance that dispatched the task." },
  [MM_EV_TASK_STOPPED]
  = { "task_stopped", RATE_HIGH, "job task upstream why run lease_ms",
      "A stop of the task was ordered. The leases at the upstream last for "
      "lease_ms from now." },
  [MM_EV_TASK_RUN_OVER]
  = { "task_run_over", RATE_HIGH,
      "job task upstream run fence how why ordered_ms confirmed_ms lists_ms "
      "lease_ms clock_age_ms",
      "The owner takes a run for ended that was being stopped or not wanted, "
      "or whose end the upstream does not list; or it leaves the run to the "
      "next owner (unknown). why says what shows that. The start was ordered "
      "ordered_ms ago (of a run of an earlier owner: it was found then). The "
      "last call whose answer showed that it runs was sent confirmed_ms ago "
      "(-1: none). The last answered list of runs was asked for lists_ms ago. "
      "The leases there last for lease_ms from now, by this instance's clock "
      "(negative: they are over), as derived from the upstream's clock, which "
      "was read clock_age_ms ago." },
  [MM_EV_TASK_OTHER_RUN]
  = { "task_other_run", RATE_HIGH,
      "job task upstream run other_run state fence lists_ms",
      "The upstream lists other_run of the task, with this state, while the "
      "owner's run of the task there has the number run. The list was asked "
      "for lists_ms ago." },
  [MM_EV_TASK_REJECTED]
  = { "task_rejected", RATE_HIGH, "job task upstream run reason",
      "The upstream rejected the start of the task for this reason (null: it "
      "gave none) and did not run it. It counts as no attempt; the task is "
      "tried again later." },
  [MM_EV_TASK_RETURNED]
  = { "task_returned", RATE_LOW, "job task waited_ms why next",
      "An owner returned the task before it started; next says what "
      "follows." },
  [MM_EV_TASK_ENDED]
  = { "task_ended", RATE_LOW, "job task upstream ran_ms run",
      "The task ran to its end." },
  [MM_EV_TASK_FAILED]
  = { "task_failed", RATE_HIGH, "job task upstream how ran_ms why next run",
      "The task did not run to its end; next says what follows. run is 0 if "
      "it is not known." },
  [MM_EV_TASK_SUSPECT]
  = { "task_suspect", RATE_HIGH, "job task upstream",
      "The upstream was lost, and the task ran there or may have: its start "
      "got no answer, or it had failed there shortly before. From now on "
      "the task runs isolated, or waits until more is known." },
  [MM_EV_TASK_GIVEN_UP]
  = { "task_given_up", RATE_HIGH, "job task crashes upstreams",
      "These upstreams crashed while they ran the task; its job fails." },
};

/* State of the rate limit of one event.  */
typedef struct
{
  mm_time_ms second; /* of the last call, mm_clock_now_ms() / 1000 */
  uint32_t written;  /* lines written in that second */
  uint64_t left_out; /* lines left out since the last written one */
} line_budget;

static line_budget budgets[MM_EV_COUNT];
static uint64_t mismatches; /* see mm_event_mismatches() */

const char *
mm_event_name (mm_event event)
{
  return event < MM_EV_COUNT ? table[event].name : "unknown";
}

uint64_t
mm_event_mismatches (void)
{
  return mismatches;
}

/* Appends a text as a JSON string, or null for NULL.  */
static void
append_text (GString *s, const char *text)
{
  if (!text)
    {
      g_string_append (s, "null");
      return;
    }
  g_string_append_c (s, '"');
  for (const unsigned char *p = (const unsigned char *)text; *p; p++)
    {
      if (*p == '"' || *p == '\\')
        g_string_append_c (s, '\\');
      if (*p < 0x20)
        g_string_append_printf (s, "\\u%04x", *p);
      else
        g_string_append_c (s, (char)*p);
    }
  g_string_append_c (s, '"');
}

/* Appends an integer or a text; of an MM_TASK value only the job's id.  */
static void
append_value (GString *s, const mm_field *f)
{
  if (f->type == MM_FIELD_INT)
    g_string_append_printf (s, "%" G_GINT64_FORMAT, f->number);
  else
    append_text (s, f->text);
}

/* Returns the first of the space-separated @names, which is @len bytes long,
   and advances @names to the following one.  */
static const char *
next_name (const char **names, size_t *len)
{
  const char *name = *names;
  *len = strcspn (name, " ");
  *names = name + *len + strspn (name + *len, " ");
  return name;
}

/* Appends the first of @names as the name of a JSON field and advances @names
   to the following one.  */
static void
append_name (GString *s, const char **names)
{
  size_t len;
  const char *name = next_name (names, &len);
  g_string_append (s, ",\"");
  g_string_append_len (s, name, (gssize)len);
  g_string_append (s, "\":");
}

/**
 * mm_event_line() - format an event as a JSON object.
 * @event: the event.
 * @fields: values in the order of the table; an MM_TASK value fills the two
 *          fields "job" and "task".
 * @n: number of values; those beyond the fields that the table lists are
 *     ignored.
 * @left_out: number of lines of this event that the rate limit left out since
 *            the last written one.
 *
 * Return: a newly allocated line without newline, free with g_free().
 */
char *
mm_event_line (mm_event event, const mm_field *fields, size_t n,
               uint64_t left_out)
{
  const event_row *row = &table[event];
  GString *s = g_string_sized_new (256);
  g_string_append_printf (s,
                          "{\"ts_ms\":%" G_GINT64_FORMAT ",\"event\":\"%s\"",
                          mm_clock_wall_ms (), row->name);
  const char *names = row->fields;
  for (size_t i = 0; i < n && *names; i++)
    {
      append_name (s, &names);
      append_value (s, &fields[i]);
      if (fields[i].type != MM_FIELD_TASK)
        continue;
      append_name (s, &names);
      g_string_append_printf (s,
                              "\"%" G_GINT64_FORMAT ".%" G_GINT64_FORMAT "\"",
                              fields[i].number, fields[i].index);
    }
  if (left_out)
    g_string_append_printf (s, ",\"left_out\":%" G_GUINT64_FORMAT, left_out);
  g_string_append_c (s, '}');
  return g_string_free (s, FALSE);
}

/* Returns the number of space-separated names.  */
static size_t
count_names (const char *names)
{
  size_t n = 0, len;
  while (*names)
    {
      next_name (&names, &len);
      n++;
    }
  return n;
}

/* Returns the number of JSON fields that @n values fill.  */
static size_t
count_values (const mm_field *fields, size_t n)
{
  size_t values = n;
  for (size_t i = 0; i < n; i++)
    values += fields[i].type == MM_FIELD_TASK;
  return values;
}

/* Counts a line and returns whether the rate limit of its event allows it.  */
static bool
within_rate (mm_event event)
{
  line_budget *b = &budgets[event];
  mm_time_ms second = mm_clock_now_ms () / 1000;
  uint32_t limit
      = table[event].rate == RATE_HIGH ? MM_LOG_RATE_HIGH : MM_LOG_RATE_LOW;
  if (b->second != second)
    {
      b->second = second;
      b->written = 0;
    }
  if (b->written >= limit)
    {
      b->left_out++;
      return false;
    }
  b->written++;
  return true;
}

/**
 * mm_event_write() - log an event, for mm_log_event().
 * @event: the event.
 * @fields: values in the order of the table.
 * @n: number of values.
 *
 * A call whose values don't match the table counts as a mismatch, see
 * mm_event_mismatches().  A line beyond the rate limit of its event is
 * counted, but not written.
 */
void
mm_event_write (mm_event event, const mm_field *fields, size_t n)
{
  if (count_values (fields, n) != count_names (table[event].fields))
    mismatches++;
  if (!within_rate (event))
    return;
  uint64_t left_out = budgets[event].left_out;
  budgets[event].left_out = 0;
  char *line = mm_event_line (event, fields, n, left_out);
  /* mm_log writes the line as it is; MESSAGE is for other log writers.  */
  GLogField log[] = { { "MESSAGE", table[event].name, -1 },
                      { MM_LOG_LINE_FIELD, line, -1 } };
  g_log_structured_array (G_LOG_LEVEL_MESSAGE, log, G_N_ELEMENTS (log));
  g_free (line);
}

/**
 * mm_event_table_markdown() - format the table of events for docs/LOGS.md.
 *
 * Return: newly allocated Markdown, free with g_free().
 */
char *
mm_event_table_markdown (void)
{
  GString *s = g_string_new ("| event | fields | meaning | rate limit |\n"
                             "|---|---|---|---|\n");
  for (int i = 0; i < MM_EV_COUNT; i++)
    {
      char **names = g_strsplit (table[i].fields, " ", MAX_FIELDS);
      char *list = g_strjoinv ("`, `", names);
      g_string_append_printf (s, "| `%s` | `%s` | %s | %s |\n", table[i].name,
                              list, table[i].meaning,
                              table[i].rate == RATE_HIGH ? "high" : "low");
      g_free (list);
      g_strfreev (names);
    }
  return g_string_free (s, FALSE);
}
