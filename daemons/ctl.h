/* ctl: functions that masticctl's commands share.  Internal to masticctl.  */
#ifndef CTL_H
#define CTL_H

#include <cJSON.h>
#include <masticmill.h>

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
cJSON *ctl_members (GError **error); /* the member list, cJSON_Delete() */
/* Return: a text field of @o, or "-" when it has no such text.  */
const char *ctl_json_text (const cJSON *o, const char *key);

int ctl_config_publish (int argc, char **argv, int64_t wait_ms);
int ctl_config_show (void);
int ctl_status (bool json);
int ctl_queues_set (const char *file);   /* @file: JSON */
int ctl_explain (int argc, char **argv); /* @argv: ID [FILE...] */
int ctl_top (int argc, char **argv);     /* @argv: HOST:PORT... */
int ctl_events (void);                   /* prints the table of docs/LOGS.md */
int ctl_bench (int argc, char **argv);

#endif /* CTL_H */
