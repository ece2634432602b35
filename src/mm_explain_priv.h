/* mm_explain_priv: types and functions shared by the mm_explain*.c files.  */
#ifndef MM_EXPLAIN_PRIV_H
#define MM_EXPLAIN_PRIV_H

#include "mm_explain.h"

#include <cJSON.h>

/* A log line.  */
typedef struct
{
  cJSON *fields;    /* the JSON object of the line, NULL if it has none */
  char *source;     /* name of the log that has the line */
  mm_time_ms ts_ms; /* wall-clock time of the line */
  size_t order;     /* position in the input, sorts lines of the same time */
  bool own;         /* has the id of the job; all others are context */
} mm_explain_line;

struct mm_explain
{
  char *job;             /* id of the job */
  GPtrArray *lines;      /* lines of the job, and possible context lines */
  GHashTable *instances; /* source -> instance name, from its "started" line */
};

/* Returns the text in the field @name, "" when the line has no such field or
   it holds no text.  */
const char *mm_explain_text (const mm_explain_line *l, const char *name);
/* Returns the number in the field @name, @otherwise when the line has no such
   field or it holds no number.  */
long long mm_explain_number (const mm_explain_line *l, const char *name,
                             long long otherwise);
bool mm_explain_is (const mm_explain_line *l, const char *event);
/* Returns the name of the instance that logged the line, or that of its log.
 */
const char *mm_explain_instance (const mm_explain *x,
                                 const mm_explain_line *l);

/* mm_explain_runs.c */
/* Appends the runs of each task that was started more than once, and whether
   they overlap.  The lines must be sorted; times are shown from @from_ms.  */
void mm_explain_append_runs (const mm_explain *x, GString *out,
                             mm_time_ms from_ms);

#endif /* MM_EXPLAIN_PRIV_H */
