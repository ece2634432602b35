/* mm_log: GLib structured logging as JSON lines on standard output.  */
#include "masticmill.h"

#include "config.h"
#include "mm_log_sink.h"

#include <cJSON.h>
#include <string.h>
#include <unistd.h>

static char *program_name; /* NULL before mm_log_init() */

static const char *
level_name (GLogLevelFlags level)
{
  if (level & G_LOG_LEVEL_ERROR)
    return "error";
  if (level & G_LOG_LEVEL_CRITICAL)
    return "critical";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & G_LOG_LEVEL_MESSAGE)
    return "message";
  if (level & G_LOG_LEVEL_INFO)
    return "info";
  return "debug";
}

/**
 * mm_log_format_json() - format one log record as a JSON line.
 * @fields: the structured fields that GLib passes to the writer.
 * @n_fields: number of fields.
 *
 * Only string fields are written, those whose length is -1; PRIORITY and
 * GLIB_OLD_LOG_API are left out.
 *
 * Return: a newly allocated line without newline, free with free().
 */
char *
mm_log_format_json (const GLogField *fields, size_t n_fields)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddNumberToObject (o, "ts_ms", (double)mm_clock_wall_ms ());
  if (program_name)
    cJSON_AddStringToObject (o, "program", program_name);
  for (size_t i = 0; i < n_fields; i++)
    {
      const GLogField *f = &fields[i];
      if (f->length != -1 || g_str_equal (f->key, "PRIORITY")
          || g_str_equal (f->key, "GLIB_OLD_LOG_API"))
        continue;
      char *key = g_ascii_strdown (f->key, -1);
      cJSON_AddStringToObject (o, key, f->value);
      g_free (key);
    }
  char *line = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return line;
}

/* Returns the line of an event, which mm_event has formatted already; NULL for
   other log records.  */
static const char *
event_line (const GLogField *fields, gsize n_fields)
{
  for (gsize i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, MM_LOG_LINE_FIELD) == 0)
      return fields[i].value;
  return NULL;
}

/* Writes a log record to mm_log_sink.  Lines of events are buffered, all
   others are written at once.  */
static GLogWriterOutput
json_writer (GLogLevelFlags level, const GLogField *fields, gsize n_fields,
             gpointer user_data)
{
  if (!(level
        & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING
           | G_LOG_LEVEL_MESSAGE))
      && !g_getenv ("MM_LOG_DEBUG"))
    return G_LOG_WRITER_HANDLED;
  const char *event = event_line (fields, n_fields);
  if (event)
    {
      mm_log_sink_put (event, strlen (event));
      return G_LOG_WRITER_HANDLED;
    }
  char *line = mm_log_format_json (fields, n_fields);
  /* Inserts the level after the opening brace of the line.  */
  char *with_level
      = g_strdup_printf ("{\"level\":\"%s\",%s", level_name (level), line + 1);
  mm_log_sink_put (with_level, strlen (with_level));
  mm_log_sink_flush ();
  g_free (with_level);
  free (line);
  return G_LOG_WRITER_HANDLED;
}

/**
 * mm_log_init() - write all GLib log records to stdout as JSON lines.
 * @program: name of the program, written to every line.
 *
 * Info and debug lines are written only when MM_LOG_DEBUG is set.
 */
void
mm_log_init (const char *program)
{
  g_free (program_name);
  program_name = g_strdup (program);
  mm_log_sink_open (STDOUT_FILENO);
  g_log_set_writer_func (json_writer, NULL, NULL);
}

/**
 * mm_log_init_stderr() - write all GLib log records to stderr as JSON lines.
 * @program: name of the program, written to every line.
 *
 * For commands that print their result on stdout.
 */
void
mm_log_init_stderr (const char *program)
{
  mm_log_init (program);
  mm_log_sink_close ();
  mm_log_sink_open (STDERR_FILENO);
}

/**
 * mm_log_close() - flush buffered lines and make the output blocking again, if
 * it was so before mm_log_init().
 */
void
mm_log_close (void)
{
  mm_log_sink_close ();
}

/**
 * mm_log_flush() - write buffered lines, as many as the output accepts now.
 */
void
mm_log_flush (void)
{
  mm_log_sink_flush ();
}
