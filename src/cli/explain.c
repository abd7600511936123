/**
 * @file explain.c
 * @brief `cedarwinch explain`: a request's story from the logs of many nodes.
 *
 * Prints, in order of time, the lines that name the request and, before each, what the same node believed: its last
 * lines on leader, view, configuration, store and servers, and the last change of the range that the request's key is
 * in, from whichever node led. Lines may carry anything before their first brace.
 */
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

enum { LINE_MAX_BYTES = 8192, BELIEFS = 6, GROWTH = 1024 };

static const double look_back_s = 30;

typedef struct line {
    double      time;
    const char *node;
    const char *event;
    json_t     *fields;
    size_t      order;
} line_t;

typedef struct lines {
    line_t *items;
    size_t  count;
} lines_t;

static void add_line(lines_t *lines, const char *text)
{
    const char *brace = strchr(text, '{');
    json_t     *fields = brace == NULL ? NULL : json_loads(brace, JSON_DISABLE_EOF_CHECK, NULL);
    line_t     *line;

    if (fields == NULL || json_object_get(fields, "event") == NULL) {
        json_decref(fields);
        return;
    }
    if (lines->count % GROWTH == 0) {
        lines->items = realloc(lines->items, (lines->count + GROWTH) * sizeof(*lines->items));
        if (lines->items == NULL) {
            abort();
        }
    }
    line = &lines->items[lines->count];
    line->time = json_number_value(json_object_get(fields, "time"));
    line->node = json_string_value(json_object_get(fields, "node"));
    line->event = json_string_value(json_object_get(fields, "event"));
    line->node = line->node == NULL ? "" : line->node;
    line->fields = fields;
    line->order = lines->count++;
}

static void read_lines(lines_t *lines, FILE *file)
{
    char text[LINE_MAX_BYTES];

    while (fgets(text, sizeof(text), file) != NULL) {
        add_line(lines, text);
    }
}

static int compare_lines(const void *left, const void *right)
{
    const line_t *a = left;
    const line_t *b = right;

    if (a->time != b->time) {
        return a->time < b->time ? -1 : 1;
    }
    return a->order < b->order ? -1 : a->order > b->order;
}

static bool names_request(const line_t *line, const char *request)
{
    const char *id = json_string_value(json_object_get(line->fields, "request"));

    return id != NULL && strcmp(id, request) == 0;
}

static void print_line(const line_t *line, const char *indent)
{
    const char *key;
    json_t     *value;

    printf("%s%.3f %s %s", indent, line->time, line->node, line->event);
    json_object_foreach(line->fields, key, value)
    {
        if (strcmp(key, "time") == 0 || strcmp(key, "node") == 0 || strcmp(key, "event") == 0 ||
            strcmp(key, "request") == 0) {
            continue;
        }
        if (json_is_string(value)) {
            printf(" %s=\"%s\"", key, json_string_value(value));
        } else if (json_is_integer(value)) {
            printf(" %s=%" JSON_INTEGER_FORMAT, key, json_integer_value(value));
        } else {
            printf(" %s=%g", key, json_number_value(value));
        }
    }
    printf("\n");
}

/* The last line of this event before a place, from this node (NULL: any). */
static const line_t *last_of(const lines_t *lines, size_t before, const char *event, const char *node)
{
    size_t index;

    for (index = before; index > 0; index--) {
        const line_t *line = &lines->items[index - 1];

        if (strcmp(line->event, event) == 0 && (node == NULL || strcmp(line->node, node) == 0)) {
            return line;
        }
    }
    return NULL;
}

static bool is_about_key(const line_t *line, json_int_t key, const char *service)
{
    const char *of = json_string_value(json_object_get(line->fields, "service"));

    return strcmp(line->event, "assignment") == 0 && of != NULL && service != NULL && strcmp(of, service) == 0 &&
           json_integer_value(json_object_get(line->fields, "low")) <= key &&
           key <= json_integer_value(json_object_get(line->fields, "last"));
}

static void print_assignment(const lines_t *lines, size_t place)
{
    const line_t *line = &lines->items[place];
    const json_t *key = json_object_get(line->fields, "key");
    const char   *service = json_string_value(json_object_get(line->fields, "service"));
    size_t        index;

    for (index = place; json_is_integer(key) && index > 0; index--) {
        if (is_about_key(&lines->items[index - 1], json_integer_value(key), service)) {
            print_line(&lines->items[index - 1], "      the key's range: ");
            return;
        }
    }
}

/* Troubles of the server that the line names. */
static void print_server(const lines_t *lines, size_t place)
{
    const line_t *line = &lines->items[place];
    const char   *server = json_string_value(json_object_get(line->fields, "server"));
    size_t        index;

    server = server == NULL ? json_string_value(json_object_get(line->fields, "detail")) : server;
    for (index = place; server != NULL && index > 0 && line->time - lines->items[index - 1].time < look_back_s;
         index--) {
        const line_t *other = &lines->items[index - 1];
        const char   *named = json_string_value(json_object_get(other->fields, "server"));

        if (named != NULL && strcmp(named, server) == 0 && strcmp(other->event, "server lost") == 0) {
            print_line(other, "      the server: ");
            return;
        }
    }
}

static void print_beliefs(const lines_t *lines, size_t place)
{
    static const char *const events[BELIEFS] = {"start",      "leader seen", "configuration accepted",
                                                "store lost", "store back",  "servers changed"};
    const line_t            *line = &lines->items[place];
    size_t                   index;

    for (index = 0; index < BELIEFS; index++) {
        const line_t *belief = last_of(lines, place, events[index], line->node);

        if (belief != NULL) {
            print_line(belief, "      this node: ");
        }
    }
    print_assignment(lines, place);
    print_server(lines, place);
}

static void clear_lines(lines_t *lines)
{
    size_t index;

    for (index = 0; index < lines->count; index++) {
        json_decref(lines->items[index].fields);
    }
    free(lines->items);
}

static int explain(lines_t *lines, const char *request)
{
    size_t index;
    size_t found = 0;

    if (lines->count > 1) {
        qsort(lines->items, lines->count, sizeof(*lines->items), compare_lines);
    }
    for (index = 0; index < lines->count; index++) {
        if (!names_request(&lines->items[index], request)) {
            continue;
        }
        print_line(&lines->items[index], "");
        print_beliefs(lines, index);
        found++;
    }
    if (found == 0) {
        printf("no line names request %s in %zu lines\n", request, lines->count);
    }
    return found == 0 ? CW_EXIT_REFUSED : CW_EXIT_DONE;
}

int cw_cli_explain(const char *request, const char *const *files, size_t count)
{
    lines_t lines = {0};
    size_t  index;
    int     code;

    for (index = 0; index < count; index++) {
        FILE *file = fopen(files[index], "r");

        if (file == NULL) {
            fprintf(stderr, "cedarwinch: %s cannot be read\n", files[index]);
            clear_lines(&lines);
            return CW_EXIT_WRONG_INPUT;
        }
        read_lines(&lines, file);
        fclose(file);
    }
    if (count == 0) {
        read_lines(&lines, stdin);
    }
    code = explain(&lines, request);
    clear_lines(&lines);
    return code;
}
