/* mm_json_limits: bounds what the tree of a JSON text costs before it is
   built.  */
#ifndef MM_JSON_LIMITS_H
#define MM_JSON_LIMITS_H

#include <stdbool.h>
#include <stddef.h>

/* Returns whether a text has no more than @max_values values and member names,
   nested no deeper than @max_depth.  The text need not be valid.  */
bool mm_json_within (const char *text, size_t len, size_t max_values,
                     size_t max_depth);

#endif /* MM_JSON_LIMITS_H */
