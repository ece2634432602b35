/* masticctl explain ID [FILE...]: why a request ended as it did.  */
#include "ctl.h"

#include "mm_event.h"
#include "mm_explain.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
read_log (mm_explain *x, const char *source, FILE *in)
{
  char *text = NULL;
  size_t size = 0;
  while (getline (&text, &size, in) >= 0)
    mm_explain_add (x, source, text);
  free (text);
}

static int
read_files (mm_explain *x, int n, char **files)
{
  for (int i = 0; i < n; i++)
    {
      FILE *in = fopen (files[i], "r");
      if (!in)
        {
          fprintf (stderr, "masticctl: cannot read %s\n", files[i]);
          return 1;
        }
      read_log (x, files[i], in);
      fclose (in);
    }
  if (n == 0)
    read_log (x, "stdin", stdin);
  return 0;
}

int
ctl_explain (int argc, char **argv)
{
  mm_explain *x = mm_explain_create (argv[0]);
  int rc = read_files (x, argc - 1, argv + 1);
  char *story = rc == 0 ? mm_explain_report (x) : NULL;
  if (story)
    fputs (story, stdout);
  else if (rc == 0)
    {
      fprintf (stderr, "masticctl: no line names job %s\n", argv[0]);
      rc = 1;
    }
  g_free (story);
  mm_explain_destroy (x);
  return rc;
}

int
ctl_events (void)
{
  char *table = mm_event_table_markdown ();
  fputs (table, stdout);
  g_free (table);
  return 0;
}
