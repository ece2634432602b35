/* mm_search_result: the result of a search for tasks in doubt.

   Runs and upstreams are identified by hashes instead of names, which keeps
   an answer about a thousand upstreams small.  */
#include "mm_search_result.h"

#include <string.h>
#include <xxhash.h>

uint32_t
mm_run_hash (const char *upstream, uint32_t run)
{
  return XXH32 (upstream, strlen (upstream), run);
}

uint64_t
mm_upstream_hash (const char *upstream)
{
  return XXH3_64bits (upstream, strlen (upstream));
}

mm_search_result
mm_search_result_init (void)
{
  return (mm_search_result){
    .clear_upstreams = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
    .ends = g_array_new (FALSE, FALSE, sizeof (mm_found_end))
  };
}

void
mm_search_result_clear (mm_search_result *result)
{
  g_array_free (result->clear_upstreams, TRUE);
  g_array_free (result->ends, TRUE);
}
