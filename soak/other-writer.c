#include "other-writer.h"

#include "platform/wire.h"
#include "processes.h"

#include <string.h>
#include <xxhash.h>

#define PARTITION_N 32
#define LARGE_VALUE_BYTES 250000
#define PAGE_RECORDS 600
#define LONGEST_KEY_BYTES 255

typedef enum
{
  KEY_PLAIN,
  KEY_NOT_UTF8,
  KEY_CONTROL_CHARACTERS,
  KEY_LONGEST,
  KEY_OF_A_WORKER,
  KEY_N
} KeyKind;

typedef enum
{
  VALUE_BRACKETS,
  VALUE_NOT_UTF8,
  VALUE_WITHOUT_MEMBERS,
  VALUE_OTHER_TYPES,
  VALUE_UNKNOWN_STATE,
  VALUE_N
} ValueKind;

/* TEXT: a string literal. */
#define STATIC_BYTES(text) g_bytes_new_static (text, sizeof (text) - 1)

static GBytes *
new_value (ValueKind kind)
{
  switch (kind)
    {
    case VALUE_BRACKETS:
      return g_bytes_new_take (g_strnfill (LARGE_VALUE_BYTES, '['), LARGE_VALUE_BYTES);
    case VALUE_NOT_UTF8:
      return STATIC_BYTES ("\xff\xfe{\"service\":\"\xc3");
    case VALUE_WITHOUT_MEMBERS:
      return STATIC_BYTES ("{}");
    case VALUE_OTHER_TYPES:
      return STATIC_BYTES ("{\"service\":[1],\"address\":{},\"labels\":7,\"capacity\":\"x\"}");
    default:
      return STATIC_BYTES ("{\"service\":\"svc\",\"address\":\"127.0.0.1:9\",\"state\":\"lost\"}");
    }
}

/* Returns: (transfer full): a key, which may contain any byte but NUL. */
static char *
new_key (KeyKind kind, guint worker)
{
  switch (kind)
    {
    case KEY_NOT_UTF8:
      return g_strnfill (40, '\xff');
    case KEY_CONTROL_CHARACTERS:
      return g_strdup ("\"\n\x1b\\");
    case KEY_LONGEST:
      return g_strnfill (LONGEST_KEY_BYTES, 'z');
    case KEY_OF_A_WORKER:
      return g_strdup_printf ("i-%u", worker);
    default:
      return g_strdup ("other-writer");
    }
}

/* Appends more small records than a page of a listing holds, before those of the workers. */
static void
append_page (GByteArray *body)
{
  g_autoptr (GBytes) value = new_value (VALUE_WITHOUT_MEMBERS);
  for (guint i = 0; i < PAGE_RECORDS; i++)
    {
      g_autofree char *key = g_strdup_printf ("#\xff%u", i);
      fb_wire_encode_record (body, key, value);
    }
}

void
soak_other_writer_store (SoakPlatform *platform, guint variant, guint worker)
{
  static const char *const topics[] = { FB_TOPIC_WORKERS, FB_TOPIC_WORKERS,  FB_TOPIC_CONFIG,
                                        FB_TOPIC_JOBS,    FB_TOPIC_PROGRESS, FB_TOPIC_QUEUES };
  static const char *const forms[] = { "raw", "replaced", "surrogates", "omitted" };
  const char *topic = topics[variant % G_N_ELEMENTS (topics)];
  gboolean is_partitioned
      = g_str_equal (topic, FB_TOPIC_JOBS) || g_str_equal (topic, FB_TOPIC_PROGRESS);
  guint partition
      = is_partitioned ? (guint) (XXH64 (SOAK_SERVICE, strlen (SOAK_SERVICE), 0) % PARTITION_N) : 0;
  g_autofree char *key = new_key ((KeyKind) (variant / 2 % KEY_N), worker);
  g_autoptr (GBytes) value = new_value ((ValueKind) (variant / 10 % VALUE_N));
  g_autoptr (GByteArray) body = g_byte_array_new ();
  fb_wire_encode_record (body, key, value);
  if (variant % 10 == 9)
    append_page (body);
  soak_platform_control (platform, "{\"malformed-keys\":\"%s\"}",
                         forms[variant / 25 % G_N_ELEMENTS (forms)]);
  soak_platform_append (platform, topic, partition, body);
}
