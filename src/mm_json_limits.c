/* mm_json_limits: see mm_json_limits.h.  */
#include "mm_json_limits.h"

#include <string.h>

/* Returns the end of the string that begins at @p.  */
static const char *
skip_string (const char *p, const char *end)
{
  for (p++; p < end && *p != '"'; p++)
    if (*p == '\\')
      p++;
  return p;
}

/* Each value but the first follows a comma, a colon or an opening bracket.  */
bool
mm_json_within (const char *text, size_t len, size_t max_values,
                size_t max_depth)
{
  const char *end = text + len;
  size_t values = 1, depth = 0;
  for (const char *p = text; p < end; p++)
    switch (*p)
      {
      case '"':
        p = skip_string (p, end);
        break;
      case '[':
      case '{':
        values++;
        if (++depth > max_depth)
          return false;
        break;
      case ']':
      case '}':
        depth -= depth > 0;
        break;
      case ',':
      case ':':
        if (++values > max_values)
          return false;
        break;
      default:
        break;
      }
  return values <= max_values;
}
