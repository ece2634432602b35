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

/* Publishes a configuration and waits up to @wait_ms until it is in force.
   @argv: BASE [SITE=OVERLAY]...  */
int ctl_config_publish (int argc, char **argv, int64_t wait_ms);
int ctl_config_show (void);
int ctl_status (bool json);              /* @json: print JSON, not a table */
int ctl_queues_set (const char *file);   /* @file: JSON */
int ctl_explain (int argc, char **argv); /* @argv: ID [FILE...] */
int ctl_top (int argc, char **argv);     /* @argv: HOST:PORT... */
int ctl_events (void);                   /* prints the table of docs/LOGS.md */
int ctl_bench (int argc, char **argv);   /* @argv: "bench" and its options */

#endif /* CTL_H */
