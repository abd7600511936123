/**
 * @file seed_peer.c
 * @brief Writes seeds for the peer target: one frame of every kind of message, with all fields filled, and one file
 *        with all kinds. Values fit the node of fuzz_node.c, so that they get past the first checks.
 *
 * Usage: seed_peer DIRECTORY
 */
#include <openssl/sha.h>
#include <stdio.h>
#include <string.h>

#include "cedarwinch/outcome.h"
#include "daemon/peer_internal.h"
#include "fuzz_node.h"

enum { DEPTH_MAX = 6, FIRST_RANGE = 393216, FENCE_INDEX = 7, PATH_SIZE = 512 };

static const int64_t WALL_MS = INT64_C(1700000000100);

/* Which alternative of a message with alternatives is filled in next. */
static unsigned chosen_alternative;

static ProtobufCMessage *fill_message(const ProtobufCMessageDescriptor *descriptor, int depth);

static uint64_t number_for(const char *name)
{
    const struct {
        const char *name;
        uint64_t    value;
    } known[] = {{"from", CW_FUZZ_PEER_INCARNATION},
                 {"to", CW_FUZZ_SELF_INCARNATION},
                 {"from_incarnation", CW_FUZZ_PEER_INCARNATION},
                 {"gateway_incarnation", CW_FUZZ_SELF_INCARNATION},
                 {"replica_incarnation", CW_FUZZ_SELF_INCARNATION},
                 {"incarnation", CW_FUZZ_SERVER_INCARNATION},
                 {"gateway", CW_FUZZ_PEER},
                 {"node", CW_FUZZ_PEER},
                 {"service", cw_hash_service("t", "s")},
                 {"server", cw_hash_server("t", "s", "s1")},
                 {"key_hash", cw_hash_key("k", 1)},
                 {"range", FIRST_RANGE},
                 {"index", FENCE_INDEX},
                 {"last", UINT64_MAX},
                 {"timeout_us", CW_US_PER_S}};
    size_t position;

    for (position = 0; position < sizeof(known) / sizeof(known[0]); position++) {
        if (strcmp(known[position].name, name) == 0) {
            return known[position].value;
        }
    }
    return 1;
}

static char *text_for(const char *name)
{
    const char *const known[][2] = {
        {"operation", "status"}, {"method", "POST"},       {"path", "/"},  {"key", "k"},
        {"tenant", "t"},         {"address", "127.0.0.1"}, {"name", "s1"}, {"reason", "moving"}};
    size_t position;

    for (position = 0; position < sizeof(known) / sizeof(known[0]); position++) {
        if (strcmp(known[position][0], name) == 0) {
            return strdup(known[position][1]);
        }
    }
    return strdup("a");
}

static ProtobufCBinaryData bytes_for(const char *name)
{
    ProtobufCBinaryData bytes = {0, malloc(SHA256_DIGEST_LENGTH)};
    uint64_t            random_state = 1;

    if (strstr(name, "sha256") != NULL) {
        bytes.len = SHA256_DIGEST_LENGTH;
        SHA256((const uint8_t *)"administrator", strlen("administrator"), bytes.data);
    } else {
        bytes.len = CW_REQUEST_ID_BYTES;
        cw_request_id_make(bytes.data, WALL_MS, &random_state);
    }
    return bytes;
}

static void put_value(const ProtobufCFieldDescriptor *field, void *place, int depth)
{
    uint64_t number = number_for(field->name);
    double   real = 1;

    switch (field->type) {
    case PROTOBUF_C_TYPE_STRING:
        *(char **)place = text_for(field->name);
        break;
    case PROTOBUF_C_TYPE_BYTES:
        *(ProtobufCBinaryData *)place = bytes_for(field->name);
        break;
    case PROTOBUF_C_TYPE_MESSAGE:
        *(ProtobufCMessage **)place = fill_message(field->descriptor, depth + 1);
        break;
    case PROTOBUF_C_TYPE_DOUBLE:
        memcpy(place, &real, sizeof(real));
        break;
    case PROTOBUF_C_TYPE_INT64:
    case PROTOBUF_C_TYPE_UINT64:
    case PROTOBUF_C_TYPE_SINT64:
    case PROTOBUF_C_TYPE_FIXED64:
    case PROTOBUF_C_TYPE_SFIXED64:
        memcpy(place, &number, sizeof(number));
        break;
    default: /* 32 bits: numbers, enumerations, truth values */
        memcpy(place, &(uint32_t){(uint32_t)number}, sizeof(uint32_t));
        break;
    }
}

static void fill_field(ProtobufCMessage *message, const ProtobufCFieldDescriptor *field, int depth)
{
    uint8_t *base = (uint8_t *)message;
    void    *item;

    if (field->type == PROTOBUF_C_TYPE_MESSAGE && depth >= DEPTH_MAX) {
        return;
    }
    if (field->label == PROTOBUF_C_LABEL_REPEATED) {
        item = calloc(1, sizeof(ProtobufCBinaryData));
        put_value(field, item, depth);
        *(size_t *)(void *)(base + field->quantifier_offset) = 1;
        *(void **)(void *)(base + field->offset) = item;
        return;
    }
    put_value(field, base + field->offset, depth);
    if ((field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0) {
        *(uint32_t *)(void *)(base + field->quantifier_offset) = field->id;
    }
}

static ProtobufCMessage *fill_message(const ProtobufCMessageDescriptor *descriptor, int depth)
{
    ProtobufCMessage *message = calloc(1, descriptor->sizeof_message);
    unsigned          alternative = 0;
    unsigned          position;
    bool              is_alternative;

    protobuf_c_message_init(descriptor, message);
    for (position = 0; position < descriptor->n_fields; position++) {
        is_alternative = (descriptor->fields[position].flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0;
        if (!is_alternative || alternative++ == chosen_alternative) {
            fill_field(message, &descriptor->fields[position], depth);
        }
    }
    return message;
}

static void write_file(const char *directory, const char *name, const cw_bytes_t *bytes)
{
    char  path[PATH_SIZE];
    FILE *file;

    snprintf(path, sizeof(path), "%s/%s", directory, name);
    file = fopen(path, "wb");
    if (file == NULL || fwrite(bytes->data, 1, bytes->length, file) != bytes->length || fclose(file) != 0) {
        perror(path);
        exit(EXIT_FAILURE);
    }
}

static unsigned count_alternatives(const ProtobufCMessageDescriptor *descriptor)
{
    unsigned count = 0;
    unsigned position;

    for (position = 0; position < descriptor->n_fields; position++) {
        count += (descriptor->fields[position].flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0 ? 1 : 0;
    }
    return count == 0 ? 1 : count;
}

/* Writes one kind of message, once for each of its alternatives; adds it to the file of all kinds. */
static void write_kind(const char *directory, const ProtobufCFieldDescriptor *field, cw_bytes_t *all)
{
    unsigned count = count_alternatives(field->descriptor);
    char     name[PATH_SIZE];

    for (chosen_alternative = 0; chosen_alternative < count; chosen_alternative++) {
        Cw__Envelope envelope = CW__ENVELOPE__INIT;
        cw_bytes_t   one = {0};

        envelope.from = CW_FUZZ_PEER;
        envelope.from_incarnation = CW_FUZZ_PEER_INCARNATION;
        envelope.to = CW_FUZZ_SELF;
        fill_field(&envelope.base, field, 0);
        if (cw_peer_frame_append(&one, &envelope) != CW_OK || cw_peer_frame_append(all, &envelope) != CW_OK) {
            exit(EXIT_FAILURE);
        }
        snprintf(name, sizeof(name), "%s%.0u", field->name, count > 1 ? chosen_alternative + 1 : 0);
        write_file(directory, name, &one);
        cw_bytes_clear(&one);
    }
}

int main(int argument_count, char **arguments)
{
    const ProtobufCMessageDescriptor *descriptor = &cw__envelope__descriptor;
    cw_bytes_t                        all = {0};
    unsigned                          position;

    if (argument_count != 2) {
        fprintf(stderr, "usage: %s DIRECTORY\n", arguments[0]);
        return EXIT_FAILURE;
    }
    for (position = 0; position < descriptor->n_fields; position++) {
        if ((descriptor->fields[position].flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0) {
            write_kind(arguments[1], &descriptor->fields[position], &all);
        }
    }
    write_file(arguments[1], "all", &all);
    cw_bytes_clear(&all);
    return EXIT_SUCCESS;
}
