/* ctl: what masticctl's commands share.  Internal to masticctl.  */
#ifndef CTL_H
#define CTL_H

#include <cJSON.h>
#include <masticmill.h>

extern const char *ctl_platform_url;
extern const char *ctl_entry_url;

int ctl_usage (void);       /* print it; exit status 2 */
int ctl_fail (GError *err); /* print and free it; exit status 1 */
char *ctl_get (const char *url, GError **error);   /* body of a 200 */
char *ctl_read (const char *file, GError **error); /* g_free */
/* Send @text and print the answer; exit status.  */
int ctl_send (const char *method, const char *url, const char *text,
              int64_t timeout_ms);
cJSON *ctl_members (GError **error);                    /* the member list */
const char *ctl_text (const cJSON *o, const char *key); /* or "-" */

int ctl_config_publish (int argc, char **argv, int64_t wait_ms);
int ctl_config_show (void);
int ctl_status (bool json);
int ctl_queues_set (const char *file);   /* JSON */
int ctl_explain (int argc, char **argv); /* ID [FILE...] */
int ctl_top (int argc, char **argv);     /* HOST:PORT... */
int ctl_events (void);                   /* docs/LOGS.md's table */
int ctl_bench (int argc, char **argv);

#endif /* CTL_H */
