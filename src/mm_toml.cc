// mm_toml: parses TOML with toml++; the only C++ file of the project.  The C
// code gets a flat list of leaf entries with dotted keys, so that settings are
// checked in C.
#include "masticmill.h"

#include <cstring>
#include <sstream>
#include <string>
#include <toml++/toml.h>
#include <vector>

struct mm_toml
{
  std::string source; // name used in error messages
  std::vector<mm_toml_entry> entries;
};

// Frees the texts of an entry.
static void
free_entry (mm_toml_entry *e)
{
  g_free (e->key);
  g_free (e->string_value);
  g_strfreev (e->strings);
}

// Adds the value of a key.  Returns false with @error set when the value is of
// a type that no setting has.
static bool
add_leaf (mm_toml *t, const std::string &key, const toml::node &node,
          GError **error)
{
  mm_toml_entry e = {};
  e.line = node.source ().begin.line;
  if (auto v = node.as_integer ())
    {
      e.type = MM_TOML_INT;
      e.int_value = v->get ();
    }
  else if (auto f = node.as_floating_point ())
    {
      e.type = MM_TOML_FLOAT;
      e.float_value = f->get ();
    }
  else if (auto b = node.as_boolean ())
    {
      e.type = MM_TOML_BOOL;
      e.bool_value = b->get ();
    }
  else if (auto s = node.as_string ())
    {
      e.type = MM_TOML_STRING;
      e.string_value = g_strdup (s->get ().c_str ());
    }
  else if (auto a = node.as_array ())
    {
      e.type = MM_TOML_STRING_ARRAY;
      GPtrArray *items = g_ptr_array_new ();
      for (auto &item : *a)
        {
          auto s = item.as_string ();
          if (!s)
            {
              g_ptr_array_free (items, TRUE);
              g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_TYPE,
                           "%s:%u: %s: only arrays of strings are allowed",
                           t->source.c_str (), e.line, key.c_str ());
              return false;
            }
          g_ptr_array_add (items, g_strdup (s->get ().c_str ()));
        }
      g_ptr_array_add (items, NULL);
      e.strings = (char **)g_ptr_array_free (items, FALSE);
    }
  else
    {
      g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_TYPE,
                   "%s:%u: %s: dates and times are not allowed",
                   t->source.c_str (), e.line, key.c_str ());
      return false;
    }
  e.key = g_strdup (key.c_str ());
  t->entries.push_back (e);
  return true;
}

// Adds all values of a table and of the tables in it.  Keys are put after
// @prefix and a dot, or alone when @prefix is empty.
static bool
flatten (mm_toml *t, const std::string &prefix, const toml::table &table,
         GError **error)
{
  for (auto &&[k, node] : table)
    {
      std::string key = prefix.empty ()
                            ? std::string (k.str ())
                            : prefix + "." + std::string (k.str ());
      if (auto sub = node.as_table ())
        {
          if (!flatten (t, key, *sub, error))
            return false;
        }
      else if (!add_leaf (t, key, node, error))
        return false;
    }
  return true;
}

// Returns the document of a parsed table, or NULL with @error set.
static mm_toml *
from_table (const toml::table &table, const char *source, GError **error)
{
  mm_toml *t = new mm_toml;
  t->source = source;
  if (!flatten (t, "", table, error))
    {
      mm_toml_destroy (t);
      return NULL;
    }
  return t;
}

/**
 * mm_toml_parse_string() - parse TOML text.
 * @text: the document.
 * @source: name used in error messages (a file name or a label).
 * @error: MM_ERROR_CONFIG_SYNTAX with line and column on bad TOML,
 *         MM_ERROR_CONFIG_TYPE for a value of a type that no setting has.
 *
 * Return: the document, free with mm_toml_destroy(), or NULL with @error set.
 */
mm_toml *
mm_toml_parse_string (const char *text, const char *source, GError **error)
{
  try
    {
      toml::table table
          = toml::parse (std::string_view (text), std::string_view (source));
      return from_table (table, source, error);
    }
  catch (const toml::parse_error &err)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_SYNTAX, "%s:%u:%u: %s",
                   source, err.source ().begin.line,
                   err.source ().begin.column,
                   std::string (err.description ()).c_str ());
      return NULL;
    }
}

/**
 * mm_toml_parse_file() - read and parse a TOML file.
 * @path: file to read.
 * @error: MM_ERROR_IO when it cannot be read, else as mm_toml_parse_string().
 *
 * Return: the document, or NULL with @error set.
 */
mm_toml *
mm_toml_parse_file (const char *path, GError **error)
{
  char *text = NULL;
  GError *io = NULL;
  if (!g_file_get_contents (path, &text, NULL, &io))
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO, "%s: %s", path, io->message);
      g_error_free (io);
      return NULL;
    }
  mm_toml *t = mm_toml_parse_string (text, path, error);
  g_free (text);
  return t;
}

void
mm_toml_destroy (mm_toml *t)
{
  if (!t)
    return;
  for (auto &e : t->entries)
    free_entry (&e);
  delete t;
}

size_t
mm_toml_count (const mm_toml *t)
{
  return t->entries.size ();
}

const mm_toml_entry *
mm_toml_at (const mm_toml *t, size_t i)
{
  return i < t->entries.size () ? &t->entries[i] : NULL;
}

const char *
mm_toml_source (const mm_toml *t)
{
  return t->source.c_str ();
}

// Returns a copy with its own texts.
static mm_toml_entry
copy_entry (const mm_toml_entry *src)
{
  mm_toml_entry e = *src;
  e.key = g_strdup (src->key);
  e.string_value = g_strdup (src->string_value);
  e.strings = g_strdupv (src->strings);
  return e;
}

/**
 * mm_toml_overlay() - apply an overlay to a base document.
 * @base: document that is changed in place.
 * @overlay: document whose entries replace those of @base with the same key;
 *           entries with other keys are added.
 */
void
mm_toml_overlay (mm_toml *base, const mm_toml *overlay)
{
  for (const auto &o : overlay->entries)
    {
      bool replaced = false;
      for (auto &b : base->entries)
        if (std::strcmp (b.key, o.key) == 0)
          {
            free_entry (&b);
            b = copy_entry (&o);
            replaced = true;
            break;
          }
      if (!replaced)
        base->entries.push_back (copy_entry (&o));
    }
}
