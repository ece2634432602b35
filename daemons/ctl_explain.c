/* masticctl explain ID [FILE...]: explains from logs why a job ended as it
   did.  masticctl events: lists the events that instances log.  */
#include "ctl.h"

#include "mm_event.h"
#include "mm_explain.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Adds all lines of a log to the report.  */
static void
read_log (mm_explain *explain, const char *source, FILE *in)
{
  char *text = NULL;
  size_t size = 0;
  while (getline (&text, &size, in) >= 0)
    mm_explain_add (explain, source, text);
  free (text);
}

/* Adds the lines of all files to the report, or those of standard input when
   there are no files.  Returns the exit status: 1 when a file cannot be
   read.  */
static int
read_files (mm_explain *explain, int n_files, char **files)
{
  for (int i = 0; i < n_files; i++)
    {
      FILE *in = fopen (files[i], "r");
      if (!in)
        {
          fprintf (stderr, "masticctl: cannot read %s\n", files[i]);
          return 1;
        }
      read_log (explain, files[i], in);
      fclose (in);
    }
  if (n_files == 0)
    read_log (explain, "stdin", stdin);
  return 0;
}

int
ctl_explain (int argc, char **argv)
{
  mm_explain *explain = mm_explain_create (argv[0]);
  int exit_status = read_files (explain, argc - 1, argv + 1);
  char *report = exit_status == 0 ? mm_explain_report (explain) : NULL;
  if (report)
    fputs (report, stdout);
  else if (exit_status == 0)
    {
      fprintf (stderr, "masticctl: no log line mentions job %s\n", argv[0]);
      exit_status = 1;
    }
  g_free (report);
  mm_explain_destroy (explain);
  return exit_status;
}

int
ctl_events (void)
{
  char *table = mm_event_table_markdown ();
  fputs (table, stdout);
  g_free (table);
  return 0;
}
