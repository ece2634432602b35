/* mm_metrics: the tables of metric series and their text format.

   The counters are this module's own, as the project's coding rules require.
   Debian 12 has no C library for histograms, and prometheus-cpp would add a
   C++ runtime and an HTTP server for what is one array here.  */
#include "mm_metrics.h"

/* A series in the output.  */
typedef struct
{
  const char *name;
  const char *label; /* LABEL="VALUE", several joined by commas, or NULL */
  const char *help;  /* shared by all series of the name */
} series;

/* Names and help texts that several series share.  */
#define JOBS "masticmill_jobs_answered_total"
#define JOBS_HELP "Jobs answered, by outcome."
#define REFUSED "masticmill_jobs_refused_total"
#define REFUSED_HELP "Jobs refused at once, by reason."
#define CLIENTS "masticmill_clients_refused_total"
#define CLIENTS_HELP                                                          \
  "Requests refused, or connections closed, for what they cost."
#define CALLER_BYTES "masticmill_caller_bytes"
#define CALLER_BYTES_HELP                                                     \
  "Memory that callers make this instance hold, as counted by its limits."
#define SHED "masticmill_jobs_shed_total"
#define SHED_HELP "Decisions on accepted jobs that waited, by verdict."
#define TASKS "masticmill_tasks_ended_total"
#define TASKS_HELP "Tasks of this instance's jobs that ended, by how."
#define STORE "masticmill_store_calls_total"
#define HANDOVERS_HELP                                                        \
  "Handovers of busy upstreams: runs transferred, or waited for."
#define STORE_HELP "Calls to the platform's store, by kind and outcome."
#define BYTES "masticmill_store_bytes_total"
#define OVERLOADED "masticmill_overloaded"
#define OVERLOADED_HELP                                                       \
  "Services in which tasks of this priority are overloaded; the last "        \
  "priority stands for all beyond it."
#define BYTES_HELP "Bytes of the store's answers, by kind of call."

static const series counter_table[MM_CT_COUNT] = {
  [MM_CT_JOBS_SUBMITTED]
  = { "masticmill_jobs_submitted_total", NULL, "Jobs that callers sent." },
  [MM_CT_JOBS_COMPLETED] = { JOBS, "outcome=\"completed\"", JOBS_HELP },
  [MM_CT_JOBS_FAILED] = { JOBS, "outcome=\"failed\"", JOBS_HELP },
  [MM_CT_JOBS_CANCELLED] = { JOBS, "outcome=\"cancelled\"", JOBS_HELP },
  [MM_CT_JOBS_GIVEN_UP] = { JOBS, "outcome=\"given_up\"", JOBS_HELP },
  [MM_CT_JOBS_UNKNOWN] = { JOBS, "outcome=\"unknown\"", JOBS_HELP },
  [MM_CT_JOBS_LEFT] = { JOBS, "outcome=\"caller_left\"", JOBS_HELP },
  [MM_CT_JOBS_REFUSED_LATE] = { REFUSED, "reason=\"too_late\"", REFUSED_HELP },
  [MM_CT_JOBS_REFUSED_OVERLOAD]
  = { REFUSED, "reason=\"overload\"", REFUSED_HELP },
  [MM_CT_JOBS_REFUSED_KIND]
  = { REFUSED, "reason=\"not_served\"", REFUSED_HELP },
  [MM_CT_JOBS_REFUSED_OTHER] = { REFUSED, "reason=\"other\"", REFUSED_HELP },
  [MM_CT_JOBS_REFUSED_MEMORY] = { REFUSED, "reason=\"memory\"", REFUSED_HELP },
  [MM_CT_CLIENTS_TOO_LARGE]
  = { CLIENTS, "reason=\"too_large\"", CLIENTS_HELP },
  [MM_CT_CLIENTS_NO_MEMORY] = { CLIENTS, "reason=\"memory\"", CLIENTS_HELP },
  [MM_CT_CLIENTS_CLOSED] = { CLIENTS, "reason=\"connections\"", CLIENTS_HELP },
  [MM_CT_CLIENTS_OVERDUE] = { CLIENTS, "reason=\"overdue\"", CLIENTS_HELP },
  [MM_CT_JOBS_SHED_REJECT] = { SHED, "verdict=\"reject\"", SHED_HELP },
  [MM_CT_JOBS_SHED_YIELD] = { SHED, "verdict=\"yield\"", SHED_HELP },
  [MM_CT_TASKS_HANDED] = { "masticmill_tasks_handed_total", NULL,
                           "Tasks handed to an owner of upstreams." },
  [MM_CT_RESERVATIONS]
  = { "masticmill_reservations_total", NULL,
      "Reservations that this instance made at owners for its tasks." },
  [MM_CT_OFFERS] = { "masticmill_offers_total", NULL,
                     "Offers of capacity made for reservations here." },
  [MM_CT_OFFERS_ACCEPTED]
  = { "masticmill_offers_accepted_total", NULL,
      "Offers that this instance accepted for its tasks." },
  [MM_CT_OFFERS_EXPIRED]
  = { "masticmill_offers_expired_total", NULL,
      "Offers made here that were neither accepted nor cancelled in time." },
  [MM_CT_TASKS_STARTED] = { "masticmill_tasks_started_total", NULL,
                            "Starts ordered at upstreams owned here." },
  [MM_CT_TASKS_DONE] = { TASKS, "how=\"done\"", TASKS_HELP },
  [MM_CT_TASKS_FAILED] = { TASKS, "how=\"failed\"", TASKS_HELP },
  [MM_CT_TASKS_STOPPED] = { TASKS, "how=\"stopped\"", TASKS_HELP },
  [MM_CT_TASKS_LOST] = { TASKS, "how=\"lost\"", TASKS_HELP },
  [MM_CT_TASKS_NOT_RUN] = { TASKS, "how=\"not_run\"", TASKS_HELP },
  [MM_CT_TASKS_UNKNOWN] = { TASKS, "how=\"unknown\"", TASKS_HELP },
  [MM_CT_ORDERS_UNANSWERED] = { "masticmill_orders_unanswered_total", NULL,
                                "Starts and stops without an answer." },
  [MM_CT_STARTS_REJECTED] = { "masticmill_starts_rejected_total", NULL,
                              "Starts that upstreams rejected for a reason of "
                              "neither their health nor "
                              "their capacity." },
  [MM_CT_LEASES_LIMITED]
  = { "masticmill_leases_limited_total", NULL,
      "Times that leases at an upstream became too short for new runs, "
      "because a run there had to end." },
  [MM_CT_ANSWERS_LATE]
  = { "masticmill_answers_late_total", NULL,
      "Answers of upstreams that came after their timeout." },
  [MM_CT_HOLDS]
  = { "masticmill_holds_total", NULL, "Lease renewals and looks." },
  [MM_CT_HOLDS_FAILED] = { "masticmill_holds_failed_total", NULL,
                           "Lease renewals and looks without an answer." },
  [MM_CT_FENCED] = { "masticmill_fenced_total", NULL,
                     "Upstreams where a higher token was seen." },
  [MM_CT_FOREIGN_RUNS] = { "masticmill_foreign_runs_total", NULL,
                           "Runs of an earlier owner found and stopped." },
  [MM_CT_EXCLUSIONS] = { "masticmill_exclusions_total", NULL,
                         "Upstreams excluded after failures in a row." },
  [MM_CT_LOSSES_LEFT_OUT]
  = { "masticmill_losses_left_out_total", NULL,
      "Losses of upstreams that were not recorded, because the record was "
      "full." },
  [MM_CT_UPSTREAM_CRASHES] = { "masticmill_upstream_crashes_total", NULL,
                               "Crashes of upstreams that were recorded, with "
                               "or without tasks there." },
  [MM_CT_CAPACITY_CHANGES]
  = { "masticmill_capacity_changes_total", NULL,
      "Upstreams owned here that changed their capacity." },
  [MM_CT_CAPACITY_LOST] = { "masticmill_capacity_lost_cpu_milli_total", NULL,
                            "Thousandths of a core by which they shrank." },
  [MM_CT_TASKS_SUSPECT]
  = { "masticmill_tasks_suspect_total", NULL,
      "Tasks that ran, or may have run, on an upstream when it was lost." },
  [MM_CT_TASKS_GIVEN_UP]
  = { "masticmill_tasks_given_up_total", NULL,
      "Tasks given up, as upstreams crashed under them." },
  [MM_CT_OWNERSHIP_CHANGES] = { "masticmill_ownership_changes_total", NULL,
                                "New sharings-out of the partitions." },
  [MM_CT_HANDOVERS_TRANSFERRED]
  = { "masticmill_handovers_total", "runs=\"transferred\"", HANDOVERS_HELP },
  [MM_CT_HANDOVERS_WAITED]
  = { "masticmill_handovers_total", "runs=\"waited_for\"", HANDOVERS_HELP },
  [MM_CT_PEERS_LOST] = { "masticmill_peers_lost_total", NULL,
                         "Links to other instances that ended." },
  [MM_CT_STALLS]
  = { "masticmill_stalls_total", NULL, "Times that the process stood still." },
  [MM_CT_CONFIG_OK] = { STORE, "call=\"config\",outcome=\"ok\"", STORE_HELP },
  [MM_CT_CONFIG_FAILED]
  = { STORE, "call=\"config\",outcome=\"failed\"", STORE_HELP },
  [MM_CT_LIST_OK] = { STORE, "call=\"list\",outcome=\"ok\"", STORE_HELP },
  [MM_CT_LIST_FAILED]
  = { STORE, "call=\"list\",outcome=\"failed\"", STORE_HELP },
  [MM_CT_LIST_UPDATES]
  = { "masticmill_list_updates_total", NULL,
      "Times that another instance told what it had read of the upstream "
      "list." },
  [MM_CT_JOIN_OK] = { STORE, "call=\"join\",outcome=\"ok\"", STORE_HELP },
  [MM_CT_JOIN_FAILED]
  = { STORE, "call=\"join\",outcome=\"failed\"", STORE_HELP },
  [MM_CT_MEMBERS_OK]
  = { STORE, "call=\"members\",outcome=\"ok\"", STORE_HELP },
  [MM_CT_MEMBERS_FAILED]
  = { STORE, "call=\"members\",outcome=\"failed\"", STORE_HELP },
  [MM_CT_APPENDS_OK] = { STORE, "call=\"append\",outcome=\"ok\"", STORE_HELP },
  [MM_CT_APPENDS_FAILED]
  = { STORE, "call=\"append\",outcome=\"failed\"", STORE_HELP },
  [MM_CT_KEPT_ACCEPTED] = { "masticmill_kept_jobs_accepted_total", NULL,
                            "Kept jobs that were stored here." },
  [MM_CT_KEPT_REFUSED]
  = { "masticmill_kept_jobs_refused_total", NULL,
      "Kept jobs that were not accepted, or of unsure outcome." },
  [MM_CT_KEPT_OVER] = { "masticmill_kept_jobs_over_total", NULL,
                        "Kept jobs whose outcome was stored here." },
  [MM_CT_KEPT_LOST_SIGHT]
  = { "masticmill_kept_jobs_lost_sight_total", NULL,
      "Times that tasks of a kept job had to be looked for." },
  [MM_CT_BYTES_CONFIG] = { BYTES, "call=\"config\"", BYTES_HELP },
  [MM_CT_BYTES_LIST] = { BYTES, "call=\"list\"", BYTES_HELP },
  [MM_CT_BYTES_JOIN] = { BYTES, "call=\"join\"", BYTES_HELP },
  [MM_CT_BYTES_MEMBERS] = { BYTES, "call=\"members\"", BYTES_HELP },
  [MM_CT_BYTES_RECORDS] = { BYTES, "call=\"records\"", BYTES_HELP },
};

static const series gauge_table[MM_GG_COUNT] = {
  [MM_GG_JOBS_OPEN]
  = { "masticmill_jobs_open", NULL, "Jobs whose callers wait." },
  [MM_GG_UPSTREAMS_OWNED]
  = { "masticmill_upstreams_owned", NULL, "Upstreams owned here." },
  [MM_GG_PLACES]
  = { "masticmill_places", NULL,
      "Tasks of the usual size that fit on the usable upstreams owned." },
  [MM_GG_PLACES_FREE]
  = { "masticmill_places_free", NULL, "Of these, how many are free." },
  [MM_GG_TASKS_WAITING]
  = { "masticmill_tasks_waiting", NULL, "Tasks that wait for room here." },
  [MM_GG_RUNS] = { "masticmill_runs", NULL, "Runs that take up room here." },
  [MM_GG_RUNS_UNSURE]
  = { "masticmill_runs_unsure", NULL,
      "Of these, starts without an answer, whose room is reserved." },
  [MM_GG_CONFIG_VERSION]
  = { "masticmill_config_version", NULL, "Configuration in force." },
  [MM_GG_GENERATION] = { "masticmill_group_generation", NULL,
                         "Generation of the data centre's group." },
  [MM_GG_LIST_AGE]
  = { "masticmill_upstream_list_age_ms", NULL,
      "Since the upstream list was last read to its end; 0: it is not read, "
      "as no upstreams are owned here." },
  [MM_GG_KEPT_OPEN] = { "masticmill_kept_jobs_open", NULL,
                        "Kept jobs at this home that are not over." },
  [MM_GG_LOG_DROPPED]
  = { "masticmill_log_lines_dropped", NULL,
      "Log lines dropped, as nobody read standard output." },
  [MM_GG_CALLER_CONNECTION_BYTES]
  = { CALLER_BYTES, "part=\"connections\"", CALLER_BYTES_HELP },
  [MM_GG_CALLER_BODY_BYTES]
  = { CALLER_BYTES, "part=\"bodies\"", CALLER_BYTES_HELP },
  [MM_GG_CALLER_JOB_BYTES]
  = { CALLER_BYTES, "part=\"jobs\"", CALLER_BYTES_HELP },
  [MM_GG_EVACUATED] = { "masticmill_datacentres_evacuated", NULL,
                        "Data centres that are evacuated, as known here." },
  [MM_GG_EVACUATED_RUNS]
  = { "masticmill_evacuated_runs", NULL,
      "Runs at upstreams owned here in evacuated data centres." },
  [MM_GG_OVERLOADED] = { OVERLOADED, "priority=\"0\"", OVERLOADED_HELP },
  [MM_GG_OVERLOADED + 1] = { OVERLOADED, "priority=\"1\"", OVERLOADED_HELP },
  [MM_GG_OVERLOADED + 2] = { OVERLOADED, "priority=\"2\"", OVERLOADED_HELP },
  [MM_GG_OVERLOADED_LAST] = { OVERLOADED, "priority=\"3\"", OVERLOADED_HELP },
  [MM_GG_UPSTREAMS_LOST]
  = { "masticmill_upstreams_lost", NULL,
      "Lost upstreams that are recorded and not known to be alive." },
};

static const series histogram_table[MM_HG_COUNT] = {
  [MM_HG_JOB] = { "masticmill_job_duration_seconds", NULL,
                  "Submission to answer, completed jobs." },
  [MM_HG_SHED_WAIT] = { "masticmill_shed_wait_seconds", NULL,
                        "Submission to rejection, accepted jobs that were "
                        "shed." },
  [MM_HG_QUEUE_WAIT] = { "masticmill_queue_wait_seconds", NULL,
                         "Taken in by an owner until ordered to start." },
  [MM_HG_RESERVATION]
  = { "masticmill_reservation_seconds", NULL,
      "Reservations of a task made until an offer is accepted." },
  [MM_HG_START_CALL] = { "masticmill_start_call_seconds", NULL,
                         "Order to start until its answer." },
  [MM_HG_TASK_RUN] = { "masticmill_task_run_seconds", NULL,
                       "Order to start until the end, done tasks." },
  [MM_HG_RUN_STOP] = { "masticmill_run_stop_seconds", NULL,
                       "First order to stop a run until it has ended." },
  [MM_HG_JOIN_CALL] = { "masticmill_join_call_seconds", NULL,
                        "Calls that keep the group membership." },
  [MM_HG_OVERLOAD_WAIT]
  = { "masticmill_overload_wait_seconds", NULL,
      "Task ready at its home until ordered to start, with overload "
      "control." },
  [MM_HG_HANDOVER]
  = { "masticmill_handover_seconds", NULL,
      "Last possible start at an upstream that is handed over until its next "
      "owner has found a run there." },
  [MM_HG_START_VIEW] = { "masticmill_start_view_age_seconds", NULL,
                         "Age of the view of the upstreams at a start." },
};

/* Upper bounds of the buckets, from the duration of a call on the local
   network to that of the longest job.  */
static const mm_time_ms bounds_ms[]
    = { 1,   2,   5,   10,  20,   35,   50,   75,   100,  150,
        200, 300, 500, 750, 1000, 1500, 2000, 3000, 5000, 10000 };
#define N_BOUNDS G_N_ELEMENTS (bounds_ms)

typedef struct
{
  /* Durations up to each bound and above the one before; the last bucket has
     those above all bounds.  */
  uint64_t in_bucket[N_BOUNDS + 1];
  uint64_t n_observations; /* durations in all buckets */
  int64_t sum_ms;          /* sum of all durations */
} histogram;

static uint64_t counters[MM_CT_COUNT];
static int64_t gauges[MM_GG_COUNT];
static histogram histograms[MM_HG_COUNT];

void
mm_metrics_count (mm_counter_id id)
{
  counters[id]++;
}

void
mm_metrics_add (mm_counter_id id, uint64_t n)
{
  counters[id] += n;
}

uint64_t
mm_metrics_counter (mm_counter_id id)
{
  return counters[id];
}

void
mm_metrics_set (mm_gauge_id id, int64_t value)
{
  gauges[id] = value;
}

/* Adds a duration to the first bucket whose bound is not below it.  */
void
mm_metrics_time (mm_histogram_id id, mm_time_ms ms)
{
  histogram *h = &histograms[id];
  size_t i = 0;
  while (i < N_BOUNDS && ms > bounds_ms[i])
    i++;
  h->in_bucket[i]++;
  h->n_observations++;
  h->sum_ms += ms;
}

uint64_t
mm_metrics_observed (mm_histogram_id id)
{
  return histograms[id].n_observations;
}

/* Appends the help and type lines of @row, unless @before, the series before
   it or NULL, has the same name: they come once for all series of a name.  */
static void
append_header (GString *s, const series *row, const series *before,
               const char *type)
{
  if (before && g_str_equal (before->name, row->name))
    return;
  g_string_append_printf (s, "# HELP %s %s\n# TYPE %s %s\n", row->name,
                          row->help, row->name, type);
}

/* Appends the line of a counter or gauge.  */
static void
append_value (GString *s, const series *row, int64_t value)
{
  g_string_append (s, row->name);
  if (row->label)
    g_string_append_printf (s, "{%s}", row->label);
  g_string_append_printf (s, " %" G_GINT64_FORMAT "\n", value);
}

/* Appends a duration in seconds, with a decimal point in every locale.  */
static void
append_seconds (GString *s, mm_time_ms ms)
{
  char text[G_ASCII_DTOSTR_BUF_SIZE];
  g_string_append (
      s, g_ascii_formatd (text, sizeof text, "%g", (double)ms / 1000.0));
}

/* Appends the lines of a histogram.  In this format each bucket also counts
   the durations in all buckets below it.  */
static void
append_histogram (GString *s, const series *row, const histogram *h)
{
  append_header (s, row, NULL, "histogram");
  uint64_t cumulative = 0;
  for (size_t i = 0; i < N_BOUNDS; i++)
    {
      cumulative += h->in_bucket[i];
      g_string_append_printf (s, "%s_bucket{le=\"", row->name);
      append_seconds (s, bounds_ms[i]);
      g_string_append_printf (s, "\"} %" G_GUINT64_FORMAT "\n", cumulative);
    }
  g_string_append_printf (
      s, "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n%s_sum ", row->name,
      h->n_observations, row->name);
  append_seconds (s, h->sum_ms);
  g_string_append_printf (s, "\n%s_count %" G_GUINT64_FORMAT "\n", row->name,
                          h->n_observations);
}

/**
 * mm_metrics_text() - format all series in the Prometheus text format.
 *
 * Return: newly allocated text, free with g_free().
 */
char *
mm_metrics_text (void)
{
  GString *s = g_string_sized_new (8192);
  for (int i = 0; i < MM_CT_COUNT; i++)
    {
      append_header (s, &counter_table[i], i ? &counter_table[i - 1] : NULL,
                     "counter");
      append_value (s, &counter_table[i], (int64_t)counters[i]);
    }
  for (int i = 0; i < MM_GG_COUNT; i++)
    {
      append_header (s, &gauge_table[i], i ? &gauge_table[i - 1] : NULL,
                     "gauge");
      append_value (s, &gauge_table[i], gauges[i]);
    }
  for (int i = 0; i < MM_HG_COUNT; i++)
    append_histogram (s, &histogram_table[i], &histograms[i]);
  return g_string_free (s, FALSE);
}
