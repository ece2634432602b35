/* mm_daemon: the command line every daemon shares (getopt_long).

   PROG [--config FILE] [--set KEY=VALUE]... [--check] [--help] [--version]

   --set takes one TOML line, so values are typed as in the file
   (--set entry.port=7101, --set 'entry.name="e2"').  */
#include "masticmill.h"

#include <execinfo.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/**
 * mm_daemon_print_settings_help() - list every settings key.
 * @specs: the daemon's table.
 */
void
mm_daemon_print_settings_help (const mm_setting_spec *specs)
{
  printf ("\nSettings (TOML keys):\n");
  for (const mm_setting_spec *s = specs; s->key; s++)
    printf ("  %-28s %s\n", s->key, s->help);
}

static bool
apply_set (const mm_setting_spec *specs, void *settings, const char *arg,
           GError **error)
{
  const char *eq = strchr (arg, '=');
  if (!eq || eq == arg)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_SYNTAX,
                   "--set %s: want KEY=VALUE", arg);
      return false;
    }
  /* "a.b=1" becomes a table [a] holding b = 1.  */
  char *key = g_strndup (arg, (gsize)(eq - arg));
  char *dot = strrchr (key, '.');
  char *text = dot ? g_strdup_printf ("[%.*s]\n%s = %s\n", (int)(dot - key),
                                      key, dot + 1, eq + 1)
                   : g_strdup_printf ("%s = %s\n", key, eq + 1);
  mm_toml *t = mm_toml_parse_string (text, "--set", error);
  bool ok = t && mm_settings_apply (specs, settings, t, error);
  mm_toml_destroy (t);
  g_free (text);
  g_free (key);
  return ok;
}

/**
 * mm_daemon_args() - parse a daemon's command line and settings.
 * @argc: from main.
 * @argv: from main.
 * @summary: one line saying what the daemon is.
 * @specs: its settings table.
 * @settings: its settings struct, holding the defaults.
 * @error: set when MM_DAEMON_ERROR is returned.
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
  GPtrArray *sets = g_ptr_array_new ();
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
        g_ptr_array_add (sets, optarg);
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
        g_ptr_array_free (sets, TRUE);
        return MM_DAEMON_EXIT;
      case 'V':
        printf ("%s %s\n", argv[0], MM_VERSION);
        g_ptr_array_free (sets, TRUE);
        return MM_DAEMON_EXIT;
      default:
        g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_SYNTAX,
                     "bad arguments; see --help");
        g_ptr_array_free (sets, TRUE);
        return MM_DAEMON_ERROR;
      }
  bool ok = !config || mm_settings_load_file (specs, settings, config, error);
  for (guint i = 0; ok && i < sets->len; i++)
    ok = apply_set (specs, settings, sets->pdata[i], error);
  g_ptr_array_free (sets, TRUE);
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

/* A crash leaves its stack on stderr, so that the log says where.
   backtrace() is not async-signal-safe; in a handler for a fatal signal
   that is accepted: the process is dying either way, and the stack is
   worth the risk of a garbled line (it found a use-after-free).  */
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
 * mm_daemon_catch_crashes() - let a crash leave its stack on stderr.
 */
void
mm_daemon_catch_crashes (void)
{
  signal (SIGSEGV, on_crash);
  signal (SIGABRT, on_crash);
}
