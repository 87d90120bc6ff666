#include "msg.h"

#include <msgpack.h>
#include <stdbool.h>
#include <string.h>

#define ARRAY_LEN(array) (sizeof(array) / sizeof((array)[0]))

enum field_kind {
	KIND_U64,
	KIND_STRING,
	KIND_BYTES,
	KIND_STRINGS,
	KIND_ROWS,
};

/* Type and position of one field in the struct of its message. */
struct field {
	enum field_kind kind;
	size_t offset;
};

struct layout {
	const char *name;
	const struct field *fields;
	size_t count;
};

#define FIELD_U64(type, member)                  \
	{                                        \
		KIND_U64, offsetof(type, member) \
	}
#define FIELD_STRING(type, member)                  \
	{                                           \
		KIND_STRING, offsetof(type, member) \
	}
#define FIELD_BYTES(type, member)                  \
	{                                          \
		KIND_BYTES, offsetof(type, member) \
	}
#define FIELD_STRINGS(type, member)                  \
	{                                            \
		KIND_STRINGS, offsetof(type, member) \
	}
#define FIELD_ROWS(type, member)                  \
	{                                         \
		KIND_ROWS, offsetof(type, member) \
	}

static const struct field row_fields[] = {
	FIELD_STRING(struct msg_row, node),	FIELD_U64(struct msg_row, incarnation),
	FIELD_STRING(struct msg_row, region),	FIELD_STRING(struct msg_row, zone),
	FIELD_STRING(struct msg_row, rack),	FIELD_STRING(struct msg_row, address),
	FIELD_U64(struct msg_row, kind),	FIELD_STRING(struct msg_row, service),
	FIELD_STRING(struct msg_row, target),	FIELD_U64(struct msg_row, target_incarnation),
	FIELD_U64(struct msg_row, state),	FIELD_U64(struct msg_row, slots),
	FIELD_U64(struct msg_row, connections), FIELD_U64(struct msg_row, accelerators),
	FIELD_U64(struct msg_row, cores),	FIELD_U64(struct msg_row, memory_mb),
	FIELD_U64(struct msg_row, in_flight),	FIELD_U64(struct msg_row, accelerators_free),
	FIELD_U64(struct msg_row, version),
};

static const struct field hello_fields[] = {
	FIELD_STRING(struct msg_hello, node),	 FIELD_U64(struct msg_hello, incarnation),
	FIELD_U64(struct msg_hello, role),	 FIELD_STRING(struct msg_hello, region),
	FIELD_STRING(struct msg_hello, zone),	 FIELD_STRING(struct msg_hello, rack),
	FIELD_STRING(struct msg_hello, address), FIELD_U64(struct msg_hello, clock_ms),
};

static const struct field announce_fields[] = {
	FIELD_STRING(struct msg_announce, node),
	FIELD_U64(struct msg_announce, incarnation),
	FIELD_U64(struct msg_announce, kind),
	FIELD_STRING(struct msg_announce, service),
	FIELD_STRING(struct msg_announce, target),
	FIELD_U64(struct msg_announce, target_incarnation),
	FIELD_U64(struct msg_announce, state),
	FIELD_U64(struct msg_announce, slots),
	FIELD_U64(struct msg_announce, connections),
	FIELD_U64(struct msg_announce, accelerators),
	FIELD_U64(struct msg_announce, cores),
	FIELD_U64(struct msg_announce, memory_mb),
	FIELD_U64(struct msg_announce, clock_ms),
};

static const struct field heartbeat_fields[] = {
	FIELD_U64(struct msg_heartbeat, sequence),
	FIELD_U64(struct msg_heartbeat, clock_ms),
	FIELD_U64(struct msg_heartbeat, in_flight),
	FIELD_U64(struct msg_heartbeat, connections_used),
	FIELD_U64(struct msg_heartbeat, accelerators_free),
	FIELD_U64(struct msg_heartbeat, config_revision),
};

static const struct field heartbeat_ack_fields[] = {
	FIELD_U64(struct msg_heartbeat_ack, sequence),
	FIELD_U64(struct msg_heartbeat_ack, config_revision),
	FIELD_U64(struct msg_heartbeat_ack, entries_version),
};

static const struct field entries_fields[] = {
	FIELD_U64(struct msg_entries, version),
	FIELD_STRINGS(struct msg_entries, ids),
	FIELD_STRINGS(struct msg_entries, addresses),
};

static const struct field target_delta_fields[] = {
	FIELD_U64(struct msg_target_delta, full),
	FIELD_ROWS(struct msg_target_delta, rows),
};

static const struct field digest_fields[] = {
	FIELD_U64(struct msg_digest, row_count),
	FIELD_U64(struct msg_digest, rows_hash),
	FIELD_U64(struct msg_digest, config_revision),
	FIELD_U64(struct msg_digest, duty_epoch),
};

static const struct field digest_pull_fields[] = {
	FIELD_U64(struct msg_digest_pull, unused),
};

static const struct field config_slice_fields[] = {
	FIELD_U64(struct msg_config_slice, revision),
	FIELD_BYTES(struct msg_config_slice, json),
};

static const struct field config_pull_fields[] = {
	FIELD_U64(struct msg_config_pull, have_revision),
};

static const struct field config_rev_fields[] = {
	FIELD_U64(struct msg_config_rev, revision),
	FIELD_BYTES(struct msg_config_rev, json),
};

static const struct field request_fields[] = {
	FIELD_U64(struct msg_request, id),
	FIELD_STRING(struct msg_request, service),
	FIELD_STRING(struct msg_request, class_name),
	FIELD_STRING(struct msg_request, organisation),
	FIELD_U64(struct msg_request, flags),
	FIELD_U64(struct msg_request, key_hash),
	FIELD_U64(struct msg_request, expiry_ms),
	FIELD_U64(struct msg_request, timeout_ms),
	FIELD_STRING(struct msg_request, content_type),
	FIELD_BYTES(struct msg_request, body),
};

static const struct field started_fields[] = {
	FIELD_U64(struct msg_started, id),
	FIELD_U64(struct msg_started, in_flight),
};

static const struct field not_run_fields[] = {
	FIELD_U64(struct msg_not_run, id),
	FIELD_U64(struct msg_not_run, code),
	FIELD_STRING(struct msg_not_run, reason),
	FIELD_U64(struct msg_not_run, in_flight),
};

static const struct field chunk_fields[] = {
	FIELD_U64(struct msg_chunk, id),
	FIELD_U64(struct msg_chunk, offset),
	FIELD_BYTES(struct msg_chunk, data),
	FIELD_U64(struct msg_chunk, status),
	FIELD_STRING(struct msg_chunk, content_type),
};

static const struct field end_fields[] = {
	FIELD_U64(struct msg_end, id),	      FIELD_U64(struct msg_end, code),
	FIELD_U64(struct msg_end, status),    FIELD_STRING(struct msg_end, content_type),
	FIELD_U64(struct msg_end, length),    FIELD_U64(struct msg_end, checksum),
	FIELD_U64(struct msg_end, in_flight),
};

static const struct field credit_fields[] = {
	FIELD_U64(struct msg_credit, id),
	FIELD_U64(struct msg_credit, bytes),
};

static const struct field cancel_fields[] = {
	FIELD_U64(struct msg_cancel, id),
};

static const struct field attempt_query_fields[] = {
	FIELD_U64(struct msg_attempt_query, id),
	FIELD_U64(struct msg_attempt_query, key_hash),
	FIELD_U64(struct msg_attempt_query, fence),
};

static const struct field attempt_info_fields[] = {
	FIELD_U64(struct msg_attempt_info, id),
	FIELD_U64(struct msg_attempt_info, key_hash),
	FIELD_U64(struct msg_attempt_info, state),
};

static const struct field hold_fields[] = {
	FIELD_U64(struct msg_hold, epoch),
	FIELD_STRING(struct msg_hold, job),
	FIELD_U64(struct msg_hold, attempt),
	FIELD_U64(struct msg_hold, member),
	FIELD_STRING(struct msg_hold, organisation),
	FIELD_STRING(struct msg_hold, class_name),
	FIELD_U64(struct msg_hold, accelerator_mask),
	FIELD_U64(struct msg_hold, cores),
	FIELD_U64(struct msg_hold, memory_mb),
	FIELD_U64(struct msg_hold, ttl_ms),
	FIELD_U64(struct msg_hold, checkpoint),
	FIELD_BYTES(struct msg_hold, payload),
};

static const struct field held_fields[] = {
	FIELD_STRING(struct msg_held, job),
	FIELD_U64(struct msg_held, attempt),
	FIELD_U64(struct msg_held, member),
};

static const struct field hold_refused_fields[] = {
	FIELD_STRING(struct msg_hold_refused, job),    FIELD_U64(struct msg_hold_refused, attempt),
	FIELD_U64(struct msg_hold_refused, member),    FIELD_U64(struct msg_hold_refused, code),
	FIELD_STRING(struct msg_hold_refused, reason),
};

static const struct field start_fields[] = {
	FIELD_U64(struct msg_start, epoch),	FIELD_STRING(struct msg_start, job),
	FIELD_U64(struct msg_start, attempt),	FIELD_U64(struct msg_start, member),
	FIELD_STRINGS(struct msg_start, nodes), FIELD_STRINGS(struct msg_start, addresses),
};

static const struct field member_status_fields[] = {
	FIELD_STRING(struct msg_member_status, job),
	FIELD_U64(struct msg_member_status, attempt),
	FIELD_U64(struct msg_member_status, member),
	FIELD_U64(struct msg_member_status, state),
	FIELD_STRING(struct msg_member_status, reason),
	FIELD_U64(struct msg_member_status, usage_percent),
	FIELD_U64(struct msg_member_status, checkpoint_ms),
	FIELD_U64(struct msg_member_status, may_have_run),
};

static const struct field release_fields[] = {
	FIELD_U64(struct msg_release, epoch),
	FIELD_STRING(struct msg_release, job),
	FIELD_U64(struct msg_release, attempt),
};

static const struct field stop_fields[] = {
	FIELD_U64(struct msg_stop, epoch),	FIELD_STRING(struct msg_stop, job),
	FIELD_U64(struct msg_stop, attempt),	FIELD_U64(struct msg_stop, grace_ms),
	FIELD_U64(struct msg_stop, checkpoint),
};

static const struct field gang_ping_fields[] = {
	FIELD_STRING(struct msg_gang_ping, job),
	FIELD_U64(struct msg_gang_ping, attempt),
	FIELD_U64(struct msg_gang_ping, member),
	FIELD_U64(struct msg_gang_ping, closed),
};

static const struct field gang_broken_fields[] = {
	FIELD_STRING(struct msg_gang_broken, job),
	FIELD_U64(struct msg_gang_broken, attempt),
	FIELD_U64(struct msg_gang_broken, member),
};

static const struct field job_hint_fields[] = {
	FIELD_U64(struct msg_job_hint, unused),
};

static const struct field job_query_fields[] = {
	FIELD_U64(struct msg_job_query, id),
	FIELD_STRING(struct msg_job_query, verb),
	FIELD_STRING(struct msg_job_query, job),
	FIELD_STRING(struct msg_job_query, organisation),
};

static const struct field job_info_fields[] = {
	FIELD_U64(struct msg_job_info, id),
	FIELD_U64(struct msg_job_info, code),
	FIELD_BYTES(struct msg_job_info, json),
};

static const struct field lead_fields[] = {
	FIELD_U64(struct msg_lead, term),
	FIELD_STRING(struct msg_lead, node),
	FIELD_STRING(struct msg_lead, address),
};

static const struct field worker_report_fields[] = {
	FIELD_U64(struct msg_worker_report, term),
	FIELD_BYTES(struct msg_worker_report, json),
};

static const struct field worker_orders_fields[] = {
	FIELD_U64(struct msg_worker_orders, term),
	FIELD_BYTES(struct msg_worker_orders, json),
};

static const struct field relay_fields[] = {
	FIELD_U64(struct msg_relay, id),
	FIELD_STRING(struct msg_relay, key),
	FIELD_STRING(struct msg_relay, requires_key),
	FIELD_BYTES(struct msg_relay, value),
	FIELD_U64(struct msg_relay, requires_revision),
};

static const struct field relayed_fields[] = {
	FIELD_U64(struct msg_relayed, id),
	FIELD_U64(struct msg_relayed, code),
};

static const struct field relay_probe_fields[] = {
	FIELD_U64(struct msg_relay_probe, id),
};

static const struct field relay_probed_fields[] = {
	FIELD_U64(struct msg_relay_probed, id),
	FIELD_U64(struct msg_relay_probed, code),
};

static const struct field part_fields[] = {
	FIELD_U64(struct msg_part, number),
	FIELD_U64(struct msg_part, offset),
	FIELD_U64(struct msg_part, total),
	FIELD_BYTES(struct msg_part, data),
};

#define LAYOUT(type, member) [type] = {#member, member##_fields, ARRAY_LEN(member##_fields)}

static const struct layout layouts[MSG_TYPE_COUNT] = {
	LAYOUT(MSG_HELLO, hello),
	LAYOUT(MSG_ANNOUNCE, announce),
	LAYOUT(MSG_HEARTBEAT, heartbeat),
	LAYOUT(MSG_HEARTBEAT_ACK, heartbeat_ack),
	LAYOUT(MSG_ENTRIES, entries),
	LAYOUT(MSG_TARGET_DELTA, target_delta),
	LAYOUT(MSG_DIGEST, digest),
	LAYOUT(MSG_DIGEST_PULL, digest_pull),
	LAYOUT(MSG_CONFIG_SLICE, config_slice),
	LAYOUT(MSG_CONFIG_PULL, config_pull),
	LAYOUT(MSG_CONFIG_REV, config_rev),
	LAYOUT(MSG_REQUEST, request),
	LAYOUT(MSG_STARTED, started),
	LAYOUT(MSG_NOT_RUN, not_run),
	LAYOUT(MSG_CHUNK, chunk),
	LAYOUT(MSG_END, end),
	LAYOUT(MSG_CREDIT, credit),
	LAYOUT(MSG_CANCEL, cancel),
	LAYOUT(MSG_ATTEMPT_QUERY, attempt_query),
	LAYOUT(MSG_ATTEMPT_INFO, attempt_info),
	LAYOUT(MSG_HOLD, hold),
	LAYOUT(MSG_HELD, held),
	LAYOUT(MSG_HOLD_REFUSED, hold_refused),
	LAYOUT(MSG_START, start),
	LAYOUT(MSG_MEMBER_STATUS, member_status),
	LAYOUT(MSG_RELEASE, release),
	LAYOUT(MSG_STOP, stop),
	LAYOUT(MSG_GANG_PING, gang_ping),
	LAYOUT(MSG_GANG_BROKEN, gang_broken),
	LAYOUT(MSG_JOB_HINT, job_hint),
	LAYOUT(MSG_JOB_QUERY, job_query),
	LAYOUT(MSG_JOB_INFO, job_info),
	LAYOUT(MSG_LEAD, lead),
	LAYOUT(MSG_WORKER_REPORT, worker_report),
	LAYOUT(MSG_WORKER_ORDERS, worker_orders),
	LAYOUT(MSG_RELAY, relay),
	LAYOUT(MSG_RELAYED, relayed),
	LAYOUT(MSG_RELAY_PROBE, relay_probe),
	LAYOUT(MSG_RELAY_PROBED, relay_probed),
	LAYOUT(MSG_PART, part),
};

/* View of the adjacent members @rows and @row_count of struct msg_target_delta. */
struct row_list {
	struct msg_row *rows;
	size_t count;
};

_Static_assert(offsetof(struct msg_target_delta, row_count) ==
		       offsetof(struct msg_target_delta, rows) + offsetof(struct row_list, count),
	       "rows and row_count must be adjacent");

const char *msg_type_name(enum msg_type type)
{
	if (type <= 0 || type >= MSG_TYPE_COUNT)
		return "unknown";
	return layouts[type].name;
}

static void pack_string(msgpack_packer *pk, const char *text)
{
	size_t len = text ? strlen(text) : 0;

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, text ? text : "", len);
}

static void pack_strings(msgpack_packer *pk, const struct msg_strings *list)
{
	msgpack_pack_array(pk, list->count);
	for (size_t i = 0; i < list->count; i++)
		pack_string(pk, list->items[i]);
}

static void pack_bytes(msgpack_packer *pk, const struct msg_bytes *bytes)
{
	msgpack_pack_bin(pk, bytes->len);
	msgpack_pack_bin_body(pk, bytes->data ? (const void *)bytes->data : "", bytes->len);
}

static void pack_field(msgpack_packer *pk, const struct field *field, const char *base);

static void pack_rows(msgpack_packer *pk, const struct row_list *list)
{
	msgpack_pack_array(pk, list->count);
	for (size_t i = 0; i < list->count; i++) {
		msgpack_pack_array(pk, ARRAY_LEN(row_fields));
		for (size_t j = 0; j < ARRAY_LEN(row_fields); j++)
			pack_field(pk, &row_fields[j], (const char *)&list->rows[i]);
	}
}

static void pack_field(msgpack_packer *pk, const struct field *field, const char *base)
{
	const void *value_ptr = base + field->offset;

	switch (field->kind) {
	case KIND_U64:
		msgpack_pack_uint64(pk, *(const uint64_t *)value_ptr);
		break;
	case KIND_STRING:
		pack_string(pk, *(const char *const *)value_ptr);
		break;
	case KIND_BYTES:
		pack_bytes(pk, value_ptr);
		break;
	case KIND_STRINGS:
		pack_strings(pk, value_ptr);
		break;
	case KIND_ROWS:
		pack_rows(pk, value_ptr);
		break;
	}
}

int msg_encode(const struct msg *msg, TALLOC_CTX *mem, uint8_t **out, size_t *len)
{
	const struct layout *layout;
	msgpack_sbuffer buffer;
	msgpack_packer pk;

	if (msg->type <= 0 || msg->type >= MSG_TYPE_COUNT)
		return -ERR_INVALID;
	layout = &layouts[msg->type];
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&pk, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, layout->count + 2);
	msgpack_pack_uint64(&pk, msg->type);
	msgpack_pack_uint64(&pk, MSG_VERSION);
	for (size_t i = 0; i < layout->count; i++)
		pack_field(&pk, &layout->fields[i], (const char *)&msg->u);
	*out = talloc_memdup(mem, buffer.data, buffer.size);
	*len = buffer.size;
	msgpack_sbuffer_destroy(&buffer);
	return 0;
}

static int unpack_string(TALLOC_CTX *mem, const msgpack_object *object, const char **out)
{
	if (object->type != MSGPACK_OBJECT_STR || object->via.str.size > MSG_STRING_MAX)
		return -ERR_INVALID;
	if (object->via.str.size && memchr(object->via.str.ptr, 0, object->via.str.size))
		return -ERR_INVALID;
	*out = talloc_strndup(mem, object->via.str.ptr, object->via.str.size);
	return 0;
}

static int unpack_strings(TALLOC_CTX *mem, const msgpack_object *object, struct msg_strings *out)
{
	const msgpack_object_array *array = &object->via.array;

	if (object->type != MSGPACK_OBJECT_ARRAY || array->size > MSG_LIST_MAX)
		return -ERR_INVALID;
	out->items = talloc_zero_array(mem, const char *, array->size);
	out->count = array->size;
	for (uint32_t i = 0; i < array->size; i++) {
		if (unpack_string(mem, &array->ptr[i], &out->items[i]))
			return -ERR_INVALID;
	}
	return 0;
}

static int unpack_bytes(TALLOC_CTX *mem, const msgpack_object *object, struct msg_bytes *out)
{
	if (object->type != MSGPACK_OBJECT_BIN)
		return -ERR_INVALID;
	out->data = talloc_memdup(mem, object->via.bin.ptr, object->via.bin.size);
	out->len = object->via.bin.size;
	return 0;
}

static int unpack_fields(TALLOC_CTX *mem, const msgpack_object *items, size_t available,
			 const struct field *fields, size_t count, char *base);

static void default_strings(const struct field *fields, size_t count, char *base)
{
	for (size_t i = 0; i < count; i++) {
		if (fields[i].kind == KIND_STRING)
			*(const char **)(base + fields[i].offset) = "";
	}
}

static int unpack_rows(TALLOC_CTX *mem, const msgpack_object *object, struct row_list *out)
{
	const msgpack_object_array *array = &object->via.array;

	if (object->type != MSGPACK_OBJECT_ARRAY || array->size > MSG_LIST_MAX)
		return -ERR_INVALID;
	out->rows = talloc_zero_array(mem, struct msg_row, array->size);
	out->count = array->size;
	for (uint32_t i = 0; i < array->size; i++) {
		const msgpack_object *row = &array->ptr[i];

		if (row->type != MSGPACK_OBJECT_ARRAY)
			return -ERR_INVALID;
		if (unpack_fields(mem, row->via.array.ptr, row->via.array.size, row_fields,
				  ARRAY_LEN(row_fields), (char *)&out->rows[i]))
			return -ERR_INVALID;
	}
	return 0;
}

static int unpack_field(TALLOC_CTX *mem, const msgpack_object *object, const struct field *field,
			char *base)
{
	void *value_ptr = base + field->offset;

	switch (field->kind) {
	case KIND_U64:
		if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return -ERR_INVALID;
		*(uint64_t *)value_ptr = object->via.u64;
		return 0;
	case KIND_STRING:
		return unpack_string(mem, object, value_ptr);
	case KIND_BYTES:
		return unpack_bytes(mem, object, value_ptr);
	case KIND_STRINGS:
		return unpack_strings(mem, object, value_ptr);
	case KIND_ROWS:
		return unpack_rows(mem, object, value_ptr);
	}
	return -ERR_INVALID;
}

static int unpack_fields(TALLOC_CTX *mem, const msgpack_object *items, size_t available,
			 const struct field *fields, size_t count, char *base)
{
	default_strings(fields, count, base);
	for (size_t i = 0; i < count && i < available; i++) {
		if (unpack_field(mem, &items[i], &fields[i], base))
			return -ERR_INVALID;
	}
	return 0;
}

/* What users send and get has a limit of its own; others are bounded by what a peer may send. */
static int check_body(const struct msg *msg)
{
	if (msg->type == MSG_REQUEST && msg->u.request.body.len > MSG_BODY_MAX)
		return -ERR_INVALID;
	if (msg->type == MSG_CHUNK && msg->u.chunk.data.len > MSG_BODY_MAX)
		return -ERR_INVALID;
	return 0;
}

static int unpack_message(TALLOC_CTX *mem, const msgpack_object *root, struct msg *msg)
{
	const msgpack_object_array *array = &root->via.array;
	uint64_t type;
	int ret;

	if (root->type != MSGPACK_OBJECT_ARRAY || array->size < 2)
		return -ERR_INVALID;
	if (array->ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return -ERR_INVALID;
	type = array->ptr[0].via.u64;
	if (type == 0 || type >= MSG_TYPE_COUNT)
		return -ERR_INVALID;
	msg->type = (enum msg_type)type;
	ret = unpack_fields(mem, array->ptr + 2, array->size - 2, layouts[type].fields,
			    layouts[type].count, (char *)&msg->u);
	return ret ? ret : check_body(msg);
}

/* Sizes of the msgpack elements with a fixed length after the type byte, from 0xc0 on. */
static const uint8_t fixed_sizes[] = {
	[0xca - 0xc0] = 4, [0xcb - 0xc0] = 8, [0xcc - 0xc0] = 1,  [0xcd - 0xc0] = 2,
	[0xce - 0xc0] = 4, [0xcf - 0xc0] = 8, [0xd0 - 0xc0] = 1,  [0xd1 - 0xc0] = 2,
	[0xd2 - 0xc0] = 4, [0xd3 - 0xc0] = 8, [0xd4 - 0xc0] = 2,  [0xd5 - 0xc0] = 3,
	[0xd6 - 0xc0] = 5, [0xd7 - 0xc0] = 9, [0xd8 - 0xc0] = 17,
};

/* Reads a big-endian length of 1, 2 or 4 bytes; SIZE_MAX when the data ends before it does. */
static size_t read_length(const uint8_t *data, size_t left, size_t width)
{
	size_t value = 0;

	if (left < width)
		return SIZE_MAX;
	for (size_t i = 0; i < width; i++)
		value = value << 8 | data[i];
	return value;
}

/* Maps and extension types, which no message contains. */
static bool is_unsupported_type(uint8_t type)
{
	return (type >= 0x80 && type <= 0x8f) || type == 0xde || type == 0xdf ||
	       (type >= 0xc7 && type <= 0xc9);
}

/* Number of length bytes that follow the type byte of a string, byte string or array. */
static size_t length_width(uint8_t type)
{
	if (type >= 0xc4 && type <= 0xc6)
		return (size_t)1 << (type - 0xc4);
	if (type >= 0xd9 && type <= 0xdb)
		return (size_t)1 << (type - 0xd9);
	if (type == 0xdc || type == 0xdd)
		return type == 0xdc ? 2 : 4;
	return 0;
}

/* Length that the type byte holds or implies. */
static size_t inline_length(uint8_t type)
{
	if (type >= 0x90 && type <= 0x9f)
		return type & 0x0f;
	if (type >= 0xa0 && type <= 0xbf)
		return type & 0x1f;
	if (type >= 0xc0 && type <= 0xd8)
		return fixed_sizes[type - 0xc0];
	return 0;
}

static bool is_array(uint8_t type)
{
	return (type >= 0x90 && type <= 0x9f) || type == 0xdc || type == 0xdd;
}

/*
 * msgpack-c allocates an array by its declared length before it reads the elements, so a few
 * malformed bytes could claim gigabytes. Refuses arrays with more elements than bytes are left.
 */
static bool arrays_fit(const uint8_t *data, size_t len)
{
	size_t value_ptr = 0;

	while (value_ptr < len) {
		uint8_t type = data[value_ptr++];
		size_t width = length_width(type);
		size_t length = width ? read_length(data + value_ptr, len - value_ptr, width)
				      : inline_length(type);

		if (is_unsupported_type(type) || width > len - value_ptr ||
		    length > len - value_ptr - width)
			return false;
		value_ptr += width;
		if (!is_array(type))
			value_ptr += length;
	}
	return true;
}

int msg_decode(TALLOC_CTX *mem, const uint8_t *data, size_t len, struct msg **out, struct err *err)
{
	struct msg *msg = talloc_zero(mem, struct msg);
	msgpack_unpacked unpacked;
	size_t offset = 0;
	int ret = -ERR_INVALID;

	msgpack_unpacked_init(&unpacked);
	if (arrays_fit(data, len) &&
	    msgpack_unpack_next(&unpacked, (const char *)data, len, &offset) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    offset == len)
		ret = unpack_message(msg, &unpacked.data, msg);
	msgpack_unpacked_destroy(&unpacked);
	if (ret) {
		talloc_free(msg);
		return err_set(err, ERR_INVALID, "check that all processes run the same release",
			       "malformed message of %zu bytes from a peer", len);
	}
	*out = msg;
	return 0;
}
