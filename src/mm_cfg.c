/* mm_cfg: configuration records from the platform log.

   A record is {"kind":"config"|"snapshot","parent":P,"base":TOML,
   "overlays":{SITE:TOML}}.  It is accepted when its parent is the offset
   of the head (the last accepted record, -1 before any) and base plus
   each overlay checks against mm_knob_specs.  Every node reads the same
   log in the same order and checks every site's overlay, not only its
   own, so every node accepts the same records: two operators racing
   from the same head end with one winner, and the loser is refused the
   same way everywhere.  The head only moves forward, so an applied
   configuration never reverts.

   A snapshot is the head once more, appended before retention drops it.
   An operator who edits while a snapshot lands must not lose to it: all
   offsets from the change itself (its "origin") to the head stand for
   the same configuration, and each is a valid parent.  */
#include "mm_cfg.h"

#include "config.h"

#include <cJSON.h>
#include <stddef.h>

struct mm_cfg
{
  char *site;
  int64_t head;
  int64_t origin; /* offset of the change that the head is or repeats */
  char *head_record;
  mm_knobs knobs;
  uint64_t rejected;
};

const mm_setting_spec mm_knob_specs[] = {
  { "limits.max_tasks_per_job", MM_SETTING_INT,
    offsetof (mm_knobs, max_tasks_per_job), 1, 100000, "largest job" },
  { "limits.max_queued_tasks", MM_SETTING_INT,
    offsetof (mm_knobs, max_queued_tasks), 1, 10000000,
    "tasks waiting or running on one instance" },
  { "limits.team_max_queued_tasks", MM_SETTING_INT,
    offsetof (mm_knobs, team_max_queued_tasks), 1, 10000000,
    "tasks of one team waiting or running in a data centre" },
  { "teams.*", MM_SETTING_INT_TABLE, offsetof (mm_knobs, team_quotas), 1,
    10000000, "the same, for the team named" },
  { "dispatch.retry_budget", MM_SETTING_INT, offsetof (mm_knobs, retry_budget),
    0, 10, "retries per idempotent task" },
  { "dispatch.timeout_ms", MM_SETTING_INT,
    offsetof (mm_knobs, dispatch_timeout_ms), 10, 600000,
    "upstream call timeout" },
  { "dispatch.retry_after_s", MM_SETTING_INT,
    offsetof (mm_knobs, retry_after_s), 1, 3600,
    "Retry-After told to refused callers" },
  { "dispatch.eject_after_failures", MM_SETTING_INT,
    offsetof (mm_knobs, eject_after_failures), 1, 1000,
    "failures in a row that eject an upstream" },
  { "dispatch.eject_ms", MM_SETTING_INT, offsetof (mm_knobs, eject_ms), 10,
    3600000, "how long an ejection lasts" },
  { NULL },
};

void
mm_knobs_clear (mm_knobs *k)
{
  if (k->team_quotas)
    g_hash_table_destroy (k->team_quotas);
  k->team_quotas = NULL;
}

/**
 * mm_knobs_team_quota() - a team's tasks allowed in a data centre.
 * @k: the knobs in force.
 * @team: the team.
 */
int64_t
mm_knobs_team_quota (const mm_knobs *k, const char *team)
{
  gpointer own
      = k->team_quotas ? g_hash_table_lookup (k->team_quotas, team) : NULL;
  return own ? (int64_t)GPOINTER_TO_SIZE (own) : k->team_max_queued_tasks;
}

void
mm_knobs_defaults (mm_knobs *k)
{
  k->team_quotas = NULL;
  k->max_tasks_per_job = MM_DEFAULT_MAX_TASKS_PER_JOB;
  k->max_queued_tasks = MM_DEFAULT_MAX_QUEUED_TASKS;
  k->team_max_queued_tasks = MM_DEFAULT_MAX_QUEUED_TASKS;
  k->retry_budget = MM_DEFAULT_RETRY_BUDGET;
  k->dispatch_timeout_ms = MM_DEFAULT_DISPATCH_TIMEOUT_MS;
  k->retry_after_s = MM_DEFAULT_RETRY_AFTER_S;
  k->eject_after_failures = MM_DEFAULT_EJECT_AFTER_FAILURES;
  k->eject_ms = MM_DEFAULT_EJECT_MS;
}

mm_cfg *
mm_cfg_create (const char *site)
{
  mm_cfg *c = g_new0 (mm_cfg, 1);
  c->site = g_strdup (site);
  c->head = c->origin = -1;
  mm_knobs_defaults (&c->knobs);
  return c;
}

void
mm_cfg_destroy (mm_cfg *c)
{
  if (!c)
    return;
  mm_knobs_clear (&c->knobs);
  g_free (c->site);
  g_free (c->head_record);
  g_free (c);
}

/* The knobs one site gets from a record: defaults, base, its overlay.  */
static bool
knobs_for (const cJSON *rec, const char *site, mm_knobs *out, GError **error)
{
  const cJSON *base = cJSON_GetObjectItemCaseSensitive (rec, "base");
  const cJSON *ovs = cJSON_GetObjectItemCaseSensitive (rec, "overlays");
  if (!cJSON_IsString (base))
    {
      g_set_error (error, MM_ERROR, MM_ERROR_BAD_REQUEST,
                   "config record has no base");
      return false;
    }
  mm_toml *t = mm_toml_parse_string (base->valuestring, "base", error);
  if (!t)
    return false;
  const cJSON *ov = site ? cJSON_GetObjectItemCaseSensitive (ovs, site) : NULL;
  if (cJSON_IsString (ov))
    {
      mm_toml *o = mm_toml_parse_string (ov->valuestring, site, error);
      if (!o)
        {
          mm_toml_destroy (t);
          return false;
        }
      mm_toml_overlay (t, o);
      mm_toml_destroy (o);
    }
  mm_knobs_defaults (out);
  bool ok = mm_settings_apply (mm_knob_specs, out, t, error);
  if (!ok)
    mm_knobs_clear (out);
  mm_toml_destroy (t);
  return ok;
}

/* A record is valid only if it checks for every site it names, so the
   verdict does not depend on which site reads it.  */
static bool
valid_everywhere (const cJSON *rec, GError **error)
{
  mm_knobs k;
  if (!knobs_for (rec, NULL, &k, error))
    return false;
  mm_knobs_clear (&k);
  const cJSON *ovs = cJSON_GetObjectItemCaseSensitive (rec, "overlays");
  const cJSON *ov;
  cJSON_ArrayForEach (ov, ovs)
    {
      if (!knobs_for (rec, ov->string, &k, error))
        return false;
      mm_knobs_clear (&k);
    }
  return true;
}

static bool
take (mm_cfg *c, int64_t offset, const cJSON *rec, const char *text,
      GError **error)
{
  mm_knobs k;
  if (!valid_everywhere (rec, error) || !knobs_for (rec, c->site, &k, error))
    {
      c->rejected++;
      return false;
    }
  const char *kind
      = cJSON_GetStringValue (cJSON_GetObjectItemCaseSensitive (rec, "kind"));
  const cJSON *origin = cJSON_GetObjectItemCaseSensitive (rec, "origin");
  bool repeats
      = kind && g_str_equal (kind, "snapshot") && cJSON_IsNumber (origin);
  c->origin = repeats ? (int64_t)origin->valuedouble : offset;
  mm_knobs_clear (&c->knobs);
  c->knobs = k;
  c->head = offset;
  g_free (c->head_record);
  c->head_record = g_strdup (text);
  return true;
}

/**
 * mm_cfg_offer() - apply the next record of the config stream.
 * @c: the config state.
 * @offset: the record's log offset; records must be offered in order.
 * @record: its JSON text.
 * @error: MM_ERROR_CONFIG_REJECTED when its parent is not the head,
 *         MM_ERROR_BAD_REQUEST or a settings error when it does not check.
 *
 * Return: true when it became the head and is in force.
 */
bool
mm_cfg_offer (mm_cfg *c, int64_t offset, const char *record, GError **error)
{
  if (offset <= c->head)
    return false; /* already seen: the head never goes back */
  cJSON *rec = cJSON_Parse (record);
  const cJSON *parent = cJSON_GetObjectItemCaseSensitive (rec, "parent");
  bool ok = false;
  if (!cJSON_IsNumber (parent))
    g_set_error (error, MM_ERROR, MM_ERROR_BAD_REQUEST,
                 "config record %" G_GINT64_FORMAT " has no parent", offset);
  else if ((int64_t)parent->valuedouble < c->origin
           || (int64_t)parent->valuedouble > c->head)
    {
      c->rejected++;
      g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_REJECTED,
                   "config record %" G_GINT64_FORMAT
                   " was edited from %" G_GINT64_FORMAT
                   " but the head was %" G_GINT64_FORMAT,
                   offset, (int64_t)parent->valuedouble, c->head);
    }
  else
    ok = take (c, offset, rec, record, error);
  cJSON_Delete (rec);
  return ok;
}

/**
 * mm_cfg_adopt() - take a record as head without checking its parent.
 * @c: the config state, fresh.
 * @offset: the record's offset.
 * @record: its JSON text.
 * @error: as mm_cfg_offer(), but never MM_ERROR_CONFIG_REJECTED.
 *
 * For a node starting after retention dropped the start of the stream:
 * it adopts the head that live nodes report.  Return: true when adopted.
 */
bool
mm_cfg_adopt (mm_cfg *c, int64_t offset, const char *record, GError **error)
{
  if (offset <= c->head)
    return false;
  cJSON *rec = cJSON_Parse (record);
  bool ok = rec && take (c, offset, rec, record, error);
  if (!rec)
    g_set_error (error, MM_ERROR, MM_ERROR_BAD_REQUEST, "record not JSON");
  cJSON_Delete (rec);
  return ok;
}

int64_t
mm_cfg_head (const mm_cfg *c)
{
  return c->head;
}

const mm_knobs *
mm_cfg_knobs (const mm_cfg *c)
{
  return &c->knobs;
}

const char *
mm_cfg_head_record (const mm_cfg *c)
{
  return c->head_record;
}

uint64_t
mm_cfg_rejected (const mm_cfg *c)
{
  return c->rejected;
}

/**
 * mm_cfg_make_record() - the JSON text of a config record.
 * @kind: "config" or "snapshot".
 * @parent: offset it was edited from, -1 for the first.
 * @base: base TOML text.
 * @sites: NULL-terminated site names (may be NULL).
 * @overlays: TOML text of each site's overlay, same order.
 *
 * Return: newly allocated text, free with free().
 */
char *
mm_cfg_make_record (const char *kind, int64_t parent, const char *base,
                    const char *const *sites, const char *const *overlays)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddStringToObject (o, "kind", kind);
  cJSON_AddNumberToObject (o, "parent", (double)parent);
  cJSON_AddStringToObject (o, "base", base);
  cJSON *ovs = cJSON_AddObjectToObject (o, "overlays");
  for (size_t i = 0; sites && sites[i]; i++)
    cJSON_AddStringToObject (ovs, sites[i], overlays[i]);
  char *s = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return s;
}

/**
 * mm_cfg_snapshot_record() - the head again, as a snapshot of itself.
 * @c: the config state.
 *
 * Appended before retention drops the head, so that a node starting
 * later still finds the configuration in force.  Its parent is the head,
 * so one that lands after a newer change is refused like any stale edit.
 * Return: newly allocated text, or NULL when there is no head.
 */
char *
mm_cfg_snapshot_record (const mm_cfg *c)
{
  if (!c->head_record)
    return NULL;
  cJSON *o = cJSON_Parse (c->head_record);
  cJSON_ReplaceItemInObject (o, "kind", cJSON_CreateString ("snapshot"));
  cJSON_ReplaceItemInObject (o, "parent",
                             cJSON_CreateNumber ((double)c->head));
  cJSON_DeleteItemFromObject (o, "origin");
  cJSON_AddNumberToObject (o, "origin", (double)c->origin);
  char *s = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return s;
}

/**
 * mm_cfg_record_text() - a checked config record, for publishing.
 * @kind: "config" or "snapshot".
 * @parent: offset the operator edited from, -1 for the first.
 * @base: base TOML text.
 * @sites: NULL-terminated site names, or NULL.
 * @overlays: each site's overlay TOML, same order.
 * @error: the first settings error of base or of any overlay, naming the
 *         site, line and key; nothing is published then.
 *
 * Return: the record's JSON text (free with free()), or NULL.
 */
char *
mm_cfg_record_text (const char *kind, int64_t parent, const char *base,
                    const char *const *sites, const char *const *overlays,
                    GError **error)
{
  char *text = mm_cfg_make_record (kind, parent, base, sites, overlays);
  cJSON *rec = cJSON_Parse (text);
  bool ok = valid_everywhere (rec, error);
  cJSON_Delete (rec);
  if (ok)
    return text;
  free (text);
  return NULL;
}
