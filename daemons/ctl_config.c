/* masticctl config: publishes a configuration and shows the one in force.  */
#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Returns the highest log offset of a configuration that a live entry instance
   in the member list reports, or -1.  Sets @n_live to the number of live entry
   instances and @n_reached to the number of those that report @wanted or a
   later offset.  */
static int64_t
reported_head (cJSON *list, uint32_t *n_live, uint32_t *n_reached,
               int64_t wanted)
{
  int64_t head = -1;
  const cJSON *member;
  *n_live = *n_reached = 0;
  cJSON_ArrayForEach (member, cJSON_GetObjectItem (list, "members"))
    {
      const char *kind
          = cJSON_GetStringValue (cJSON_GetObjectItem (member, "kind"));
      const char *state
          = cJSON_GetStringValue (cJSON_GetObjectItem (member, "state"));
      if (!kind || !g_str_equal (kind, "entry") || !state
          || !g_str_equal (state, "live"))
        continue;
      int64_t reported = (int64_t)cJSON_GetNumberValue (
          cJSON_GetObjectItem (member, "config_offset"));
      head = MAX (head, reported);
      (*n_live)++;
      if (reported >= wanted)
        (*n_reached)++;
    }
  return head;
}

/* Looks in the log for a record whose append was not answered.  If the append
   took effect and only its answer was lost, the operator would publish again
   and be rejected because of their own record.  The platform is asked for the
   log until it answers, for at most @wait_ms; the record is recognised by its
   content.  Return: the record's offset, or -1 when it was not found.  */
static int64_t
find_record (const char *record, int64_t parent, int64_t wait_ms)
{
  cJSON *wanted = cJSON_Parse (record);
  char *url = g_strdup_printf ("%s/v1/log/config?from=%" G_GINT64_FORMAT,
                               ctl_platform_url, parent + 1);
  mm_time_ms deadline_ms = mm_clock_now_ms () + wait_ms;
  int64_t offset = -1;
  bool log_answered = false;
  while (!log_answered && mm_clock_now_ms () < deadline_ms)
    {
      char *body = ctl_get (url, NULL);
      cJSON *log = cJSON_Parse (body ? body : "");
      const cJSON *row;
      log_answered = log != NULL;
      cJSON_ArrayForEach (row, cJSON_GetObjectItem (log, "records"))
        {
          if (cJSON_Compare (cJSON_GetObjectItem (row, "data"), wanted, true))
            offset = (int64_t)cJSON_GetNumberValue (
                cJSON_GetObjectItem (row, "offset"));
        }
      cJSON_Delete (log);
      g_free (body);
      if (!log_answered)
        g_usleep (100000);
    }
  g_free (url);
  cJSON_Delete (wanted);
  return offset;
}

/* Reads the files of the base and the overlays, given as BASE
   [SITE=OVERLAY]..., and returns them as a checked record, free with free(),
   whose parent is the record at offset @parent.  Returns NULL with @error set
   when a file cannot be read or a setting is not valid.  */
static char *
read_record (int argc, char **argv, int64_t parent, GError **error)
{
  char *record = NULL;
  char *base = ctl_read_file (argv[0], error);
  if (!base)
    return NULL;
  GPtrArray *sites = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  bool ok = true;
  for (int i = 1; i < argc && ok; i++)
    {
      char *equals = strchr (argv[i], '=');
      char *text = NULL;
      ok = equals && g_file_get_contents (equals + 1, &text, NULL, NULL);
      if (!ok)
        {
          g_set_error (error, MM_ERROR, MM_ERROR_IO,
                       "%s: expected SITE=FILE with a readable file", argv[i]);
          break;
        }
      g_ptr_array_add (sites, g_strndup (argv[i], (gsize)(equals - argv[i])));
      g_ptr_array_add (texts, text);
    }
  g_ptr_array_add (sites, NULL);
  g_ptr_array_add (texts, NULL);
  if (ok)
    record = mm_cfg_record_text ("config", parent, base,
                                 (const char *const *)sites->pdata,
                                 (const char *const *)texts->pdata, error);
  g_free (base);
  g_ptr_array_free (sites, TRUE);
  g_ptr_array_free (texts, TRUE);
  return record;
}

/* Appends a record to the log and, without an answer of status 200, looks for
   it there.  Return: its offset, or -1 with @error set.  */
static int64_t
append_record (const char *record, int64_t parent, int64_t wait_ms,
               GError **error)
{
  char *url = g_strdup_printf ("%s/v1/log/config", ctl_platform_url);
  long status = 0;
  GError *call_error = NULL;
  char *answer
      = mm_http_call_sync ("POST", url, record, 5000, &status, &call_error);
  cJSON *answer_json = cJSON_Parse (answer ? answer : "");
  int64_t offset = status == 200 ? (int64_t)cJSON_GetNumberValue (
                       cJSON_GetObjectItem (answer_json, "offset"))
                                 : find_record (record, parent, wait_ms);
  if (offset < 0)
    g_set_error (error, MM_ERROR, MM_ERROR_PLATFORM,
                 "append answered %ld (%s); the record is not in the log",
                 status, call_error ? call_error->message : answer);
  cJSON_Delete (answer_json);
  g_clear_error (&call_error);
  g_free (answer);
  g_free (url);
  return offset;
}

/* Returns whether the record at @head builds on the record at @offset, that
   is, whether the latter was accepted.  A later head alone does not show that
   the record was rejected: the head may be a snapshot or an edit of it.  Each
   accepted record names its parent, so the parents are followed back from the
   head to @offset or past it.  */
static bool
descends_from (int64_t head, int64_t offset)
{
  char *url = g_strdup_printf ("%s/v1/log/config?from=%" G_GINT64_FORMAT,
                               ctl_platform_url, offset);
  char *body = ctl_get (url, NULL);
  cJSON *log = cJSON_Parse (body ? body : "");
  cJSON *records = cJSON_GetObjectItem (log, "records");
  int64_t ancestor = head;
  for (int i = cJSON_GetArraySize (records) - 1; i >= 0 && ancestor > offset;
       i--)
    {
      const cJSON *row = cJSON_GetArrayItem (records, i);
      const cJSON *parent
          = cJSON_GetObjectItem (cJSON_GetObjectItem (row, "data"), "parent");
      if ((int64_t)cJSON_GetNumberValue (cJSON_GetObjectItem (row, "offset"))
              == ancestor
          && cJSON_IsNumber (parent))
        ancestor = (int64_t)parent->valuedouble;
    }
  cJSON_Delete (log);
  g_free (body);
  g_free (url);
  return ancestor == offset;
}

/* Waits until every live entry instance reports @offset or a later one, and
   says so.  Returns false with @error set when the newest record does not
   build on the one at @offset, or after @wait_ms.  */
static bool
wait_in_force (int64_t offset, int64_t wait_ms, GError **error)
{
  mm_time_ms deadline_ms = mm_clock_now_ms () + wait_ms;
  uint32_t live = 0, reached = 0;
  while (mm_clock_now_ms () < deadline_ms)
    {
      cJSON *list = ctl_members (NULL);
      int64_t head = list ? reported_head (list, &live, &reached, offset) : -1;
      cJSON_Delete (list);
      if (head > offset && !descends_from (head, offset))
        {
          g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_REJECTED,
                       "offset %" G_GINT64_FORMAT
                       " lost to a concurrent change (head %" G_GINT64_FORMAT
                       "); edit again from the head",
                       offset, head);
          return false;
        }
      if (live && reached == live)
        {
          printf ("in force at %u live entry instances\n", live);
          return true;
        }
      g_usleep (100000);
    }
  g_set_error (error, MM_ERROR, MM_ERROR_TIMEOUT,
               "not yet in force everywhere after %" G_GINT64_FORMAT
               " ms (%u of %u instances)",
               wait_ms, reached, live);
  return false;
}

int
ctl_config_publish (int argc, char **argv, int64_t wait_ms)
{
  GError *err = NULL;
  cJSON *list = ctl_members (&err);
  if (!list)
    return ctl_print_error (err);
  uint32_t live, reached;
  int64_t parent = reported_head (list, &live, &reached, 0);
  cJSON_Delete (list);
  char *record = read_record (argc, argv, parent, &err);
  if (!record)
    return ctl_print_error (err);
  int64_t offset = append_record (record, parent, wait_ms, &err);
  free (record);
  if (offset < 0)
    return ctl_print_error (err);
  printf ("published config at offset %" G_GINT64_FORMAT
          " (edited from %" G_GINT64_FORMAT ")\n",
          offset, parent);
  return wait_in_force (offset, wait_ms, &err) ? 0 : ctl_print_error (err);
}

int
ctl_config_show (void)
{
  GError *err = NULL;
  cJSON *list = ctl_members (&err);
  if (!list)
    return ctl_print_error (err);
  uint32_t live, reached;
  int64_t head = reported_head (list, &live, &reached, 0);
  cJSON_Delete (list);
  if (head < 0)
    {
      printf ("# no configuration published; %u live entry instances run on "
              "defaults\n",
              live);
      return 0;
    }
  char *url = g_strdup_printf ("%s/v1/log/config?max=1&from=%" G_GINT64_FORMAT,
                               ctl_platform_url, head);
  char *body = ctl_get (url, &err);
  g_free (url);
  if (!body)
    return ctl_print_error (err);
  cJSON *log = cJSON_Parse (body);
  g_free (body);
  const cJSON *record
      = cJSON_GetArrayItem (cJSON_GetObjectItem (log, "records"), 0);
  const cJSON *data = cJSON_GetObjectItem (record, "data");
  printf ("# offset %" G_GINT64_FORMAT ", %u live entry instances\n%s", head,
          live, ctl_json_text (data, "base"));
  const cJSON *overlay;
  cJSON_ArrayForEach (overlay, cJSON_GetObjectItem (data, "overlays"))
    {
      printf ("\n# overlay of site %s\n%s", overlay->string,
              overlay->valuestring);
    }
  cJSON_Delete (log);
  return 0;
}
