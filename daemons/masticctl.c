/* masticctl: the operators' command line.

   masticctl [--platform URL] [--entry URL] COMMAND ...
     job submit FILE           submit a job (JSON) and print the answer
     config publish BASE [SITE=OVERLAY]...
                               publish base + overlays; wait until in force
     config show               print the configuration in force
     status [--json]           print the member list
     dump ADDR                 print the state of a process (host:port)
     fault ADDR JSON           set platform faults or an upstream's mode
     queues set FILE           set the queues that instances serve
     evacuation begin|end DATACENTRE
                               start no tasks there, or start them again
     evacuation show ADDR...   what is evacuated, and what still runs there
     explain ID [FILE]...      why a job ended as it did, from several logs
     model [--sweep] FILE      compare ways to decide on a load, or on
                               multiples of it
     top ADDR...               print current metrics of instances in one table
     events                    list the events that instances log
     bench [options]           run a load and print the ratio of latency to the
                               ideal, and the wasted work per 1000 tasks  */
#include "ctl.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Submits the job in @file and prints the answer.  Return: exit status.  */
static int
cmd_job_submit (const char *file)
{
  GError *err = NULL;
  char *text = ctl_read_file (file, &err);
  if (!text)
    return ctl_print_error (err);
  char *url = g_strdup_printf ("%s/v1/jobs", ctl_entry_url);
  int exit_status = ctl_request ("POST", url, text, 60000);
  g_free (url);
  g_free (text);
  return exit_status;
}

/* Prints the answer to GET @url.  Return: exit status.  */
static int
cmd_print (const char *url)
{
  GError *err = NULL;
  char *body = ctl_get (url, &err);
  if (!body)
    return ctl_print_error (err);
  printf ("%s\n", body);
  g_free (body);
  return 0;
}

/* Sends @json to the stand-in at @addr, as faults of a platform or as the mode
   of an upstream.  Return: exit status.  */
static int
cmd_fault (const char *addr, const char *json)
{
  GError *err = NULL;
  char *url = g_strdup_printf ("http://%s/v1/state", addr);
  char *state = ctl_get (url, &err);
  g_free (url);
  if (!state)
    return ctl_print_error (err);
  /* Only the state of a platform has "streams"; that of an upstream has
     "mode".  */
  bool platform = strstr (state, "\"streams\"") != NULL;
  g_free (state);
  url = g_strdup_printf ("http://%s%s", addr,
                         platform ? "/v1/faults" : "/v1/mode");
  int exit_status = ctl_request ("POST", url, json, 5000);
  g_free (url);
  return exit_status;
}

int
main (int argc, char **argv)
{
  mm_log_init_stderr ("masticctl");
  static const struct option options[]
      = { { "platform", required_argument, NULL, 'p' },
          { "entry", required_argument, NULL, 'e' },
          { "wait-ms", required_argument, NULL, 'w' },
          { "help", no_argument, NULL, 'h' },
          { "version", no_argument, NULL, 'V' },
          { NULL, 0, NULL, 0 } };
  int64_t wait_ms = 10000;
  int c;
  /* The leading + ends option parsing at the command, so that each command
     parses its own options.  */
  while ((c = getopt_long (argc, argv, "+p:e:w:hV", options, NULL)) != -1)
    switch (c)
      {
      case 'p':
        ctl_platform_url = optarg;
        break;
      case 'e':
        ctl_entry_url = optarg;
        break;
      case 'w':
        wait_ms = atoll (optarg);
        break;
      case 'h':
        ctl_usage ();
        return 0;
      case 'V':
        printf ("masticctl %s\n", MM_VERSION);
        return 0;
      default:
        return ctl_usage ();
      }
  argc -= optind;
  argv += optind;
  if (argc >= 3 && g_str_equal (argv[0], "job")
      && g_str_equal (argv[1], "submit"))
    return cmd_job_submit (argv[2]);
  if (argc >= 3 && g_str_equal (argv[0], "config")
      && g_str_equal (argv[1], "publish"))
    return ctl_config_publish (argc - 2, argv + 2, wait_ms);
  if (argc >= 2 && g_str_equal (argv[0], "config")
      && g_str_equal (argv[1], "show"))
    return ctl_config_show ();
  if (argc >= 1 && g_str_equal (argv[0], "status"))
    return ctl_status (argc >= 2 && g_str_equal (argv[1], "--json"));
  if (argc >= 2 && g_str_equal (argv[0], "dump"))
    {
      char *url = g_strdup_printf ("http://%s/v1/state", argv[1]);
      int exit_status = cmd_print (url);
      g_free (url);
      return exit_status;
    }
  if (argc >= 3 && g_str_equal (argv[0], "fault"))
    return cmd_fault (argv[1], argv[2]);
  if (argc >= 3 && g_str_equal (argv[0], "queues")
      && g_str_equal (argv[1], "set"))
    return ctl_queues_set (argv[2]);
  if (argc >= 2 && g_str_equal (argv[0], "evacuation"))
    return ctl_evacuation (argc - 1, argv + 1);
  if (argc >= 2 && g_str_equal (argv[0], "explain"))
    return ctl_explain (argc - 1, argv + 1);
  if (argc >= 2 && g_str_equal (argv[0], "model"))
    return argc >= 3 && g_str_equal (argv[1], "--sweep")
               ? ctl_model_sweep (argv[2])
               : ctl_model (argv[1]);
  if (argc >= 2 && g_str_equal (argv[0], "top"))
    return ctl_top (argc - 1, argv + 1);
  if (argc >= 1 && g_str_equal (argv[0], "events"))
    return ctl_events ();
  if (argc >= 1 && g_str_equal (argv[0], "bench"))
    return ctl_bench (argc, argv);
  return ctl_usage ();
}
