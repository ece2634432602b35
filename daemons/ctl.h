/* ctl: functions that masticctl's commands share.  Internal to masticctl.  */
#ifndef CTL_H
#define CTL_H

#include <cJSON.h>
#include <masticmill.h>

/* Base URLs, set with --platform and --entry.  */
extern const char *ctl_platform_url;
extern const char *ctl_entry_url;

/* Prints the usage.  Return: exit status 2.  */
int ctl_usage (void);
/* Prints and frees @err.  Return: exit status 1.  */
int ctl_print_error (GError *err);
/* Return: the body of an answer with status 200, g_free(); NULL with @error
   set for any other answer, or for none.  */
char *ctl_get (const char *url, GError **error);
char *ctl_read_file (const char *file, GError **error); /* g_free() */
/* Sends @text and prints the answer.  Return: exit status, 0 for an answer
   with status 200.  */
int ctl_request (const char *method, const char *url, const char *text,
                 int64_t timeout_ms);
/* Return: the platform's member list, cJSON_Delete(); NULL with @error set
   when the platform does not answer with status 200.  */
cJSON *ctl_members (GError **error);
/* Return: the text in the field @key of @o, owned by @o; "-" when @o has no
   such field or it holds no text.  */
const char *ctl_json_text (const cJSON *o, const char *key);

/* ---- commands; each returns the exit status ---- */

/* Publishes a configuration as an edit of the newest record that a live entry
   instance reports, and waits up to @wait_ms until it is in force everywhere.
   @argv: BASE [SITE=OVERLAY]...  */
int ctl_config_publish (int argc, char **argv, int64_t wait_ms);
/* Prints the configuration in force: the record at the newest offset that a
   live entry instance reports.  */
int ctl_config_show (void);
/* Prints the member list, one line for each member, or as JSON if @json.  The
   list lags behind the members' actual state.  */
int ctl_status (bool json);
/* Replaces the queues at the platform by those in @file, which is JSON.  */
int ctl_queues_set (const char *file);
/* Evacuates a data centre, returns one to service, or prints the evacuations
   that instances know.  @argv: "begin" or "end" DATACENTRE, or "show"
   HOST:PORT...  */
int ctl_evacuation (int argc, char **argv);
/* Explains a job from logs.  @argv: ID [FILE...], where ID is the job's.  */
int ctl_explain (int argc, char **argv);
/* Plays the load in @file, TOML, in the model of the decisions, and prints a
   line of JSON for each way to decide and each kind of job.  */
int ctl_model (const char *file);
/* Plays the load in @file with 0.5 to 3 times its jobs, with the current and
   the new decisions and with one owner that has complete information.  */
int ctl_model_sweep (const char *file);
/* Prints a row for each instance in @argv: HOST:PORT...  The exit status is 1
   when the metrics of any of them cannot be read.  */
int ctl_top (int argc, char **argv);
/* Prints the table of events in docs/LOGS.md, as Markdown.  */
int ctl_events (void);
/* Runs the load and prints the results as one JSON object.  Counters are shown
   by how much they grew during the run.  @argv: "bench" and its options.  */
int ctl_bench (int argc, char **argv);

#endif /* CTL_H */
