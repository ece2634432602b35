/* mm_error: the GError domain MM_ERROR and the names of its codes.  */
#include "masticmill.h"

G_DEFINE_QUARK (mm - error - quark, mm_error)

static const char *const code_names[] = {
  [MM_ERROR_CONFIG_SYNTAX] = "config_syntax",
  [MM_ERROR_CONFIG_UNKNOWN_KEY] = "config_unknown_key",
  [MM_ERROR_CONFIG_TYPE] = "config_type",
  [MM_ERROR_CONFIG_RANGE] = "config_range",
  [MM_ERROR_IO] = "io",
  [MM_ERROR_BAD_REQUEST] = "bad_request",
  [MM_ERROR_JOB_SIZE] = "job_size",
  [MM_ERROR_OVERLOADED] = "overloaded",
  [MM_ERROR_PLATFORM] = "platform",
  [MM_ERROR_UPSTREAM] = "upstream",
  [MM_ERROR_CONFIG_REJECTED] = "config_rejected",
  [MM_ERROR_TIMEOUT] = "timeout",
  [MM_ERROR_DECODE] = "decode",
};

/**
 * mm_error_code_name() - stable name of an error code.
 * @code: an mm_error_code.
 *
 * Return: a static string for JSON answers and logs; "unknown" for a code that
 * is not in the enum.
 */
const char *
mm_error_code_name (int code)
{
  if (code < 0 || code >= (int)G_N_ELEMENTS (code_names) || !code_names[code])
    return "unknown";
  return code_names[code];
}
