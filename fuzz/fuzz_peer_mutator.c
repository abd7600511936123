/**
 * @file fuzz_peer_mutator.c
 * @brief Mutates inputs of the peer target by the shape of the messages: fields get other values, lengths and counts,
 *        sub-messages vanish, frames are doubled, dropped and exchanged. One of four mutations is of plain bytes.
 */
#include <string.h>

#include "daemon/peer_internal.h"
#include "fuzz.h"

enum { FRAMES_MAX = 24, BYTES_MAX = 64, CHANGES_MAX = 3, PLAIN_SHARE = 4, DESCEND_SHARE = 4 };

size_t LLVMFuzzerMutate(uint8_t *data, size_t size, size_t max_size);
size_t LLVMFuzzerCustomMutator(uint8_t *data, size_t size, size_t max_size, unsigned seed);

static uint64_t draw_number(uint64_t *random)
{
    static const uint64_t edges[] = {0, 1, 2, 11, 12, UINT32_MAX, INT64_MAX, (uint64_t)INT64_MAX + 1, UINT64_MAX};
    const uint64_t        edge_count = sizeof(edges) / sizeof(edges[0]);
    uint64_t              choice = cw_random_below(random, edge_count + 1);

    return choice < edge_count ? edges[choice] : cw_random_next(random);
}

static ProtobufCBinaryData draw_bytes(uint64_t *random)
{
    ProtobufCBinaryData bytes = {cw_random_below(random, BYTES_MAX), NULL};

    bytes.data = bytes.len == 0 ? NULL : malloc(bytes.len);
    if (bytes.data != NULL) {
        memset(bytes.data, (int)cw_random_below(random, UINT8_MAX), bytes.len);
    }
    return bytes;
}

static void change_text(char **text, uint64_t *random)
{
    size_t length = cw_random_below(random, BYTES_MAX * BYTES_MAX);
    char  *drawn = malloc(length + 1);

    if (drawn == NULL) {
        return;
    }
    memset(drawn, 'x', length);
    drawn[length] = '\0';
    if (*text != protobuf_c_empty_string) {
        free(*text);
    }
    *text = drawn;
}

static void change_scalar(const ProtobufCFieldDescriptor *field, void *place, uint64_t *random)
{
    uint64_t             number = draw_number(random);
    ProtobufCBinaryData *bytes = place;

    switch (field->type) {
    case PROTOBUF_C_TYPE_STRING:
        change_text(place, random);
        break;
    case PROTOBUF_C_TYPE_BYTES:
        free(bytes->data);
        *bytes = draw_bytes(random);
        break;
    case PROTOBUF_C_TYPE_DOUBLE:
    case PROTOBUF_C_TYPE_INT64:
    case PROTOBUF_C_TYPE_UINT64:
    case PROTOBUF_C_TYPE_SINT64:
    case PROTOBUF_C_TYPE_FIXED64:
    case PROTOBUF_C_TYPE_SFIXED64:
        memcpy(place, &number, sizeof(number));
        break;
    default:
        memcpy(place, &number, sizeof(uint32_t));
        break;
    }
}

static void change_message(ProtobufCMessage *message, uint64_t *random);

/* Goes down into a sub-message, or takes it away. */
static void change_part(ProtobufCMessage **part, uint64_t *random)
{
    if (*part == NULL) {
        return;
    }
    if (cw_random_below(random, DESCEND_SHARE) > 0) {
        change_message(*part, random);
    } else {
        protobuf_c_message_free_unpacked(*part, NULL);
        *part = NULL;
    }
}

/* A list loses its last item, or one of its messages is changed. */
static void change_list(const ProtobufCFieldDescriptor *field, size_t *count, void **items, uint64_t *random)
{
    if (*count == 0 || field->type != PROTOBUF_C_TYPE_MESSAGE) {
        return;
    }
    if (cw_random_below(random, DESCEND_SHARE) > 0) {
        change_message(((ProtobufCMessage **)*items)[cw_random_below(random, *count)], random);
        return;
    }
    (*count)--;
    protobuf_c_message_free_unpacked(((ProtobufCMessage **)*items)[*count], NULL);
}

static void change_message(ProtobufCMessage *message, uint64_t *random)
{
    const ProtobufCMessageDescriptor *descriptor = message->descriptor;
    const ProtobufCFieldDescriptor   *field;
    uint8_t                          *base = (uint8_t *)message;
    bool                              is_alternative;

    if (descriptor->n_fields == 0) {
        return;
    }
    field = &descriptor->fields[cw_random_below(random, descriptor->n_fields)];
    is_alternative = (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0;
    if (is_alternative && *(uint32_t *)(void *)(base + field->quantifier_offset) != field->id) {
        return;
    }
    if (field->label == PROTOBUF_C_LABEL_REPEATED) {
        change_list(field, (size_t *)(void *)(base + field->quantifier_offset), (void **)(void *)(base + field->offset),
                    random);
    } else if (field->type != PROTOBUF_C_TYPE_MESSAGE) {
        change_scalar(field, base + field->offset, random);
    } else if (is_alternative) {
        change_message(*(ProtobufCMessage **)(void *)(base + field->offset), random);
    } else {
        change_part((ProtobufCMessage **)(void *)(base + field->offset), random);
    }
}

/* The body of an envelope is one field of many: goes straight to it most times. */
static void change_envelope(Cw__Envelope *envelope, uint64_t *random)
{
    if (envelope->body_case != CW__ENVELOPE__BODY__NOT_SET && cw_random_below(random, DESCEND_SHARE) > 0) {
        change_message((ProtobufCMessage *)envelope->hello, random); /* the alternatives share one place */
    } else {
        change_message(&envelope->base, random);
    }
}

static size_t read_frames(const uint8_t *data, size_t size, Cw__Envelope *frames[FRAMES_MAX])
{
    size_t  count = 0;
    size_t  position = 0;
    int64_t payload;

    while (count < FRAMES_MAX && (payload = cw_peer_frame_find(data + position, size - position)) > 0) {
        position += CW_PEER_FRAME_HEADER_BYTES;
        frames[count] = cw__envelope__unpack(NULL, (size_t)payload, data + position);
        count += frames[count] != NULL ? 1 : 0;
        position += (size_t)payload;
    }
    return count;
}

/* Writes the frames in order, but the one at `first` where `second` stands as well, in place of it. */
static void write_frames(cw_bytes_t *bytes, Cw__Envelope *const *frames, size_t count, size_t first, size_t second)
{
    size_t position;

    for (position = 0; position < count; position++) {
        (void)cw_peer_frame_append(bytes, frames[position == second ? first : position]);
        if (position == second && first != second) {
            (void)cw_peer_frame_append(bytes, frames[second]);
        }
    }
}

size_t LLVMFuzzerCustomMutator(uint8_t *data, size_t size, size_t max_size, unsigned seed)
{
    Cw__Envelope *frames[FRAMES_MAX];
    cw_bytes_t    bytes = {0};
    uint64_t      random = seed;
    size_t        count;
    size_t        changes;
    size_t        position;

    count = cw_random_below(&random, PLAIN_SHARE) == 0 ? 0 : read_frames(data, size, frames);
    if (count == 0) {
        return LLVMFuzzerMutate(data, size, max_size);
    }
    for (changes = 1 + cw_random_below(&random, CHANGES_MAX); changes > 0; changes--) {
        change_envelope(frames[cw_random_below(&random, count)], &random);
    }
    write_frames(&bytes, frames, count, cw_random_below(&random, count), cw_random_below(&random, count));
    if (bytes.length > 0 && bytes.length <= max_size) {
        memcpy(data, bytes.data, bytes.length);
        size = bytes.length;
    } else {
        size = LLVMFuzzerMutate(data, size, max_size);
    }
    cw_bytes_clear(&bytes);
    for (position = 0; position < count; position++) {
        cw__envelope__free_unpacked(frames[position], NULL);
    }
    return size;
}
