#include "fb-counter.h"

#include <stdatomic.h>

static _Atomic uint64_t values[FB_COUNTER_N];

static const struct
{
  const char *name;
  const char *help;
} descriptions[FB_COUNTER_N] = {
#define FB_COUNTER(symbol, name, help) { name, help },
#include "counters.def"
#undef FB_COUNTER
};

void
fb_counter_add (FbCounter counter, uint64_t amount)
{
  atomic_fetch_add_explicit (&values[counter], amount, memory_order_relaxed);
}

uint64_t
fb_counter_get (FbCounter counter)
{
  return atomic_load_explicit (&values[counter], memory_order_relaxed);
}

char *
fb_counter_render (void)
{
  GString *out = g_string_new (NULL);
  for (guint i = 0; i < FB_COUNTER_N; i++)
    {
      g_string_append_printf (out, "# HELP %s %s\n# TYPE %s counter\n%s %" G_GUINT64_FORMAT "\n",
                              descriptions[i].name, descriptions[i].help, descriptions[i].name,
                              descriptions[i].name, fb_counter_get ((FbCounter) i));
    }
  return g_string_free (out, FALSE);
}
