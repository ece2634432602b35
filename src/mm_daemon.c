/* mm_daemon: the command line that all daemons share (getopt_long).

   PROG [--config FILE] [--set KEY=VALUE]... [--check] [--help] [--version]

   --set takes one TOML line, so its value has a type as in a file
   (--set entry.port=7101, --set 'entry.name="e2"').  */
#include "masticmill.h"

#include <sys/resource.h>
#include <unistd.h>
#include <execinfo.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/**
 * mm_daemon_print_settings_help() - print every settings key with its help.
 * @specs: the daemon's settings table.
 */
void
mm_daemon_print_settings_help (const mm_setting_spec *specs)
{
  printf ("\nSettings (TOML keys):\n");
  for (const mm_setting_spec *spec = specs; spec->key; spec++)
    printf ("  %-28s %s\n", spec->key, spec->help);
}

/* Applies @arg, the KEY=VALUE of a --set option, to @settings.  Returns false
   with @error set when it is not valid.  */
static bool
apply_set (const mm_setting_spec *specs, void *settings, const char *arg,
           GError **error)
{
  const char *equals = strchr (arg, '=');
  if (!equals || equals == arg)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_SYNTAX,
                   "--set %s: expected KEY=VALUE", arg);
      return false;
    }
  /* "a.b=1" becomes a table [a] that contains b = 1.  */
  char *key = g_strndup (arg, (gsize)(equals - arg));
  char *dot = strrchr (key, '.');
  char *text = dot ? g_strdup_printf ("[%.*s]\n%s = %s\n", (int)(dot - key),
                                      key, dot + 1, equals + 1)
                   : g_strdup_printf ("%s = %s\n", key, equals + 1);
  mm_toml *document = mm_toml_parse_string (text, "--set", error);
  bool ok = document && mm_settings_apply (specs, settings, document, error);
  mm_toml_destroy (document);
  g_free (text);
  g_free (key);
  return ok;
}

/**
 * mm_daemon_args() - parse a daemon's command line and settings.
 * @argc: argument of main().
 * @argv: argument of main().
 * @summary: one line for --help that says what the daemon does.
 * @specs: the daemon's settings table.
 * @settings: the daemon's settings struct, which contains the defaults.
 * @error: set when MM_DAEMON_ERROR is returned.
 *
 * The file of --config is applied first, then each --set in the given order.
 *
 * Return: whether to run, exit or fail.
 */
mm_daemon_verdict
mm_daemon_args (int argc, char **argv, const char *summary,
                const mm_setting_spec *specs, void *settings, GError **error)
{
  static const struct option opts[]
      = { { "config", required_argument, NULL, 'c' },
          { "set", required_argument, NULL, 's' },
          { "check", no_argument, NULL, 'k' },
          { "help", no_argument, NULL, 'h' },
          { "version", no_argument, NULL, 'V' },
          { NULL, 0, NULL, 0 } };
  bool check_only = false;
  GPtrArray *set_args = g_ptr_array_new ();
  const char *config = NULL;
  int c;
  optind = 1;
  while ((c = getopt_long (argc, argv, "c:s:khV", opts, NULL)) != -1)
    switch (c)
      {
      case 'c':
        config = optarg;
        break;
      case 's':
        g_ptr_array_add (set_args, optarg);
        break;
      case 'k':
        check_only = true;
        break;
      case 'h':
        printf ("Usage: %s [--config FILE] [--set KEY=VALUE]... [--check]\n"
                "%s\n\n"
                "  -c, --config FILE   settings in TOML\n"
                "  -s, --set K=V       one setting, as a TOML value\n"
                "  -k, --check         check the settings and exit\n"
                "  -h, --help          this help\n"
                "  -V, --version       the version\n",
                argv[0], summary);
        mm_daemon_print_settings_help (specs);
        g_ptr_array_free (set_args, TRUE);
        return MM_DAEMON_EXIT;
      case 'V':
        printf ("%s %s\n", argv[0], MM_VERSION);
        g_ptr_array_free (set_args, TRUE);
        return MM_DAEMON_EXIT;
      default:
        g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_SYNTAX,
                     "bad arguments; see --help");
        g_ptr_array_free (set_args, TRUE);
        return MM_DAEMON_ERROR;
      }
  bool ok = !config || mm_settings_load_file (specs, settings, config, error);
  for (guint i = 0; ok && i < set_args->len; i++)
    ok = apply_set (specs, settings, set_args->pdata[i], error);
  g_ptr_array_free (set_args, TRUE);
  if (ok && optind < argc)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_SYNTAX,
                   "unexpected argument %s; see --help", argv[optind]);
      ok = false;
    }
  if (!ok)
    return MM_DAEMON_ERROR;
  if (check_only)
    {
      printf ("settings ok\n");
      return MM_DAEMON_EXIT;
    }
  return MM_DAEMON_RUN;
}

/* Prints the stack to stderr, so that the log shows where the process crashed.
   backtrace() is not async-signal-safe.  That is accepted in the handler of a
   fatal signal: the process ends in any case, and the stack is worth the risk
   of a garbled line (one such stack revealed a use-after-free).  */
static void
on_crash (int sig)
{
  void *frames[64];
  int n = backtrace (frames, 64);      /* NOLINT(bugprone-signal-handler) */
  backtrace_symbols_fd (frames, n, 2); /* NOLINT(bugprone-signal-handler) */
  signal (sig, SIG_DFL);
  raise (sig);
}

/**
 * mm_daemon_catch_crashes() - print the stack to stderr on SIGSEGV or SIGABRT.
 */
void
mm_daemon_catch_crashes (void)
{
  signal (SIGSEGV, on_crash);
  signal (SIGABRT, on_crash);
}

uint64_t
mm_daemon_memory_bytes (int64_t setting_mb)
{
  uint64_t bytes = (uint64_t)setting_mb * 1000 * 1000;
  long pages = sysconf (_SC_PHYS_PAGES), page_bytes = sysconf (_SC_PAGESIZE);
  if (pages > 0 && page_bytes > 0)
    bytes = MIN (bytes, (uint64_t)pages * (uint64_t)page_bytes);
  return bytes;
}

int64_t
mm_daemon_descriptors (int64_t setting)
{
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    setting = MIN (setting, (int64_t)MIN (limit.rlim_cur, G_MAXINT32));
  return setting;
}
