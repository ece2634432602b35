/* harness_logs: keeps what a test case and its processes write.  */
#ifndef MM_HARNESS_LOGS_H
#define MM_HARNESS_LOGS_H

#include <cJSON.h>

/* Return: the folder of this test case, where files stay after the run.  */
const char *h_log_directory (void);
/* Keeps an answer that a caller got in callers.log of that folder, and prints
   its beginning; @answer may be NULL.  */
void h_keep_answer (int instance, long status, const cJSON *answer);

#endif
