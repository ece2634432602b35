/* harness_logs: keeps what a test case and its processes write.  Each run of a
   test program has a folder of its own under test-logs, with a folder in it
   for each test case, so that a later run overwrites nothing.  */
#define _GNU_SOURCE /* program_invocation_short_name */
#include "harness_logs.h"

#include "harness.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LOGS MM_BIN_DIR "/test-logs"
#define PASSED_FILE "passed" /* in the folder of a case that passed */

enum
{
  SHOWN_LINES = 4,       /* last lines printed of each file */
  SHOWN_LINE_BYTES = 400 /* printed of a line */
};

/* Folder of this run of the test program.  */
static char *run_directory;
/* Process that runs the test case.  */
static pid_t case_pid;

/* A failed or stopped case does not get here: check ends its process with a
   signal or with _exit().  */
static void
mark_passed (int status, void *directory)
{
  if (status != 0 || getpid () != case_pid)
    return;
  char *path = g_build_filename (directory, PASSED_FILE, NULL);
  g_file_set_contents (path, "", 0, NULL);
  g_free (path);
}

/* The processes that a case forks inherit its folder.  */
const char *
h_log_directory (void)
{
  static char *directory;
  if (directory)
    return directory;
  case_pid = getpid ();
  char *name = g_strdup_printf ("%s-%d", tcase_name (), (int)case_pid);
  directory
      = g_build_filename (run_directory ? run_directory : LOGS, name, NULL);
  g_free (name);
  g_mkdir_with_parents (directory, 0755);
  on_exit (mark_passed, directory);
  return directory;
}

void
h_keep_answer (int instance, long status, const cJSON *answer)
{
  char *text = cJSON_PrintUnformatted (answer);
  char *path = g_build_filename (h_log_directory (), "callers.log", NULL);
  FILE *file = fopen (path, "a");
  if (file)
    {
      fprintf (file, "ts_ms=%lld instance %d answered %ld: %s\n",
               (long long)mm_clock_wall_ms (), instance, status,
               text ? text : "(none)");
      fclose (file);
    }
  fprintf (stderr, "instance %d answered %ld: %.300s\n", instance, status,
           text ? text : "(none)");
  g_free (path);
  free (text);
}

/* Prints the last lines of a file.  */
static void
print_end (const char *directory, const char *name)
{
  char *path = g_build_filename (directory, name, NULL);
  char *text = NULL;
  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      char **lines = g_strsplit (g_strchomp (text), "\n", 0);
      int n = (int)g_strv_length (lines);
      printf ("  %s, %d lines:\n", name, n);
      for (int i = MAX (0, n - SHOWN_LINES); i < n; i++)
        printf ("    %.*s\n", SHOWN_LINE_BYTES, lines[i]);
      g_strfreev (lines);
    }
  g_free (text);
  g_free (path);
}

/* Prints where the logs of a case are, and their ends.  */
static void
print_case (const char *directory)
{
  printf ("logs of a failed test case: %s\n", directory);
  GDir *dir = g_dir_open (directory, 0, NULL);
  const char *name;
  while (dir && (name = g_dir_read_name (dir)))
    print_end (directory, name);
  if (dir)
    g_dir_close (dir);
}

/* Prints the logs of the cases that did not pass.  */
static void
print_failed_cases (void)
{
  GDir *dir = g_dir_open (run_directory, 0, NULL);
  const char *name;
  while (dir && (name = g_dir_read_name (dir)))
    {
      char *directory = g_build_filename (run_directory, name, NULL);
      char *passed = g_build_filename (directory, PASSED_FILE, NULL);
      if (g_file_test (directory, G_FILE_TEST_IS_DIR)
          && !g_file_test (passed, G_FILE_TEST_EXISTS))
        print_case (directory);
      g_free (passed);
      g_free (directory);
    }
  if (dir)
    g_dir_close (dir);
}

int
h_run_suite (Suite *s)
{
  char *name
      = g_strdup_printf ("%s-%lld-%d", program_invocation_short_name,
                         (long long)mm_clock_wall_ms (), (int)getpid ());
  run_directory = g_build_filename (LOGS, name, NULL);
  g_free (name);
  g_mkdir_with_parents (run_directory, 0755);
  SRunner *r = srunner_create (s);
  char *messages = g_build_filename (run_directory, "check.log", NULL);
  srunner_set_log (r, messages);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  if (failed)
    print_failed_cases ();
  srunner_free (r);
  g_free (messages);
  return failed ? 1 : 0;
}
