/* mm_settings: copies a TOML document into a settings struct and checks every
   key against a table of specs.  A document with an unknown key, a wrong type
   or a value out of range is rejected with a GError that names source, line,
   key and reason.  */
#include "masticmill.h"

#include <string.h>

/* Returns whether @key belongs to the table of @setting: the spec "teams.*"
   accepts any key that begins with "teams.".  */
static bool
in_table (const mm_setting_spec *setting, const char *key)
{
  size_t prefix = strlen (setting->key) - 1;
  return strncmp (setting->key, key, prefix) == 0 && key[prefix];
}

/* Returns the spec of @key, or NULL for an unknown key.  */
static const mm_setting_spec *
find_spec (const mm_setting_spec *specs, const char *key)
{
  for (const mm_setting_spec *setting = specs; setting->key; setting++)
    if (strcmp (setting->key, key) == 0
        || (setting->type == MM_SETTING_INT_TABLE && in_table (setting, key)))
      return setting;
  return NULL;
}

/* Returns the expected type of a value, as text for error messages.  */
static const char *
type_name (mm_setting_type t)
{
  switch (t)
    {
    case MM_SETTING_INT:
      return "an integer";
    case MM_SETTING_BOOL:
      return "a boolean";
    case MM_SETTING_STRING:
      return "a string";
    case MM_SETTING_STRINGS:
      return "an array of strings";
    case MM_SETTING_FLOAT:
      return "a number";
    case MM_SETTING_INT_TABLE:
      return "an integer";
    }
  return "?";
}

/* Returns whether a value of type @actual is allowed for a setting; an integer
   also is a number.  */
static bool
type_matches (mm_setting_type expected, mm_toml_type actual)
{
  switch (expected)
    {
    case MM_SETTING_INT:
    case MM_SETTING_INT_TABLE:
      return actual == MM_TOML_INT;
    case MM_SETTING_BOOL:
      return actual == MM_TOML_BOOL;
    case MM_SETTING_STRING:
      return actual == MM_TOML_STRING;
    case MM_SETTING_STRINGS:
      return actual == MM_TOML_STRING_ARRAY;
    case MM_SETTING_FLOAT:
      return actual == MM_TOML_FLOAT || actual == MM_TOML_INT;
    }
  return false;
}

/* Copies a valid value into the field of @target that @spec refers to.  */
static void
store_value (const mm_setting_spec *spec, void *target, const mm_toml_entry *e)
{
  char *field = (char *)target + spec->offset;
  switch (spec->type)
    {
    case MM_SETTING_INT:
      *(int64_t *)field = e->int_value;
      break;
    case MM_SETTING_BOOL:
      *(bool *)field = e->bool_value;
      break;
    case MM_SETTING_STRING:
      g_free (*(char **)field);
      *(char **)field = g_strdup (e->string_value);
      break;
    case MM_SETTING_STRINGS:
      g_strfreev (*(char ***)field);
      *(char ***)field = g_strdupv (e->strings);
      break;
    case MM_SETTING_INT_TABLE:
      /* Adds an entry, whose name is the part of the key after the last dot of
         the spec.  */
      if (!*(GHashTable **)field)
        *(GHashTable **)field
            = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_hash_table_insert (*(GHashTable **)field,
                           g_strdup (e->key + strlen (spec->key) - 1),
                           GSIZE_TO_POINTER ((gsize)e->int_value));
      break;
    case MM_SETTING_FLOAT:
      *(double *)field
          = e->type == MM_TOML_INT ? (double)e->int_value : e->float_value;
      break;
    }
}

/**
 * mm_settings_apply() - check a document and copy it into @target.
 * @specs: table that ends with an entry whose key is NULL.
 * @target: struct that the specs' offsets refer to; its string fields must be
 *          NULL or allocated with g_malloc(), since they are freed and
 *          replaced.
 * @t: the document.
 * @error: MM_ERROR_CONFIG_UNKNOWN_KEY, MM_ERROR_CONFIG_TYPE or
 *         MM_ERROR_CONFIG_RANGE, naming "source:line: key: reason".
 *
 * Only integer settings have a range.  Nothing is copied unless every entry is
 * valid, so an invalid file leaves the settings in @target unchanged.
 *
 * Return: true on success.
 */
bool
mm_settings_apply (const mm_setting_spec *specs, void *target,
                   const mm_toml *t, GError **error)
{
  const char *source = mm_toml_source (t);
  for (size_t i = 0; i < mm_toml_count (t); i++)
    {
      const mm_toml_entry *e = mm_toml_at (t, i);
      const mm_setting_spec *spec = find_spec (specs, e->key);
      if (!spec)
        {
          g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_UNKNOWN_KEY,
                       "%s:%u: %s: unknown key", source, e->line, e->key);
          return false;
        }
      if (!type_matches (spec->type, e->type))
        {
          g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_TYPE,
                       "%s:%u: %s: must be %s", source, e->line, e->key,
                       type_name (spec->type));
          return false;
        }
      if (e->type == MM_TOML_INT && spec->type != MM_SETTING_FLOAT
          && (e->int_value < spec->min || e->int_value > spec->max))
        {
          g_set_error (
              error, MM_ERROR, MM_ERROR_CONFIG_RANGE,
              "%s:%u: %s: %" G_GINT64_FORMAT
              " is out of range %" G_GINT64_FORMAT "..%" G_GINT64_FORMAT,
              source, e->line, e->key, e->int_value, spec->min, spec->max);
          return false;
        }
    }
  for (size_t i = 0; i < mm_toml_count (t); i++)
    {
      const mm_toml_entry *e = mm_toml_at (t, i);
      store_value (find_spec (specs, e->key), target, e);
    }
  return true;
}

/**
 * mm_settings_load_file() - read, check and apply a settings file.
 * @specs: as for mm_settings_apply().
 * @target: as for mm_settings_apply().
 * @path: the TOML file.
 * @error: MM_ERROR_IO, MM_ERROR_CONFIG_SYNTAX or an error of
 *         mm_settings_apply().
 *
 * Return: true on success.
 */
bool
mm_settings_load_file (const mm_setting_spec *specs, void *target,
                       const char *path, GError **error)
{
  mm_toml *document = mm_toml_parse_file (path, error);
  if (!document)
    return false;
  bool ok = mm_settings_apply (specs, target, document, error);
  mm_toml_destroy (document);
  return ok;
}
