/**
 * @file explain.c
 * @brief `cedarwinch explain`: explains a request from the logs of many nodes.
 *
 * Prints, in order of time, the lines that name the request. Under each line it prints the cause with the lines that
 * explain it (explain_cause.h), and the state of the same node at that time: its last lines about its start, the
 * leader, the configuration, the store and the servers; the last change of the range that holds the request's key, from
 * whichever node led; and the last loss of the server that the line names. An answer that waited is followed by the
 * lines of the request that it waited for.
 */
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"
#include "cli/explain_cause.h"
#include "cli/log_lines.h"

enum { STATE_EVENTS = 6 };

static const double server_loss_window_s = 30;

static bool names_request(const cw_log_line_t *line, const char *request)
{
    const char *id = json_string_value(json_object_get(line->fields, "request"));

    return id != NULL && strcmp(id, request) == 0;
}

static void print_line(const cw_log_line_t *line, const char *indent)
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

/* The last line with this event before an index, from this node (NULL: any node). */
static const cw_log_line_t *last_of(const cw_log_lines_t *lines, size_t before, const char *event, const char *node)
{
    size_t index;

    for (index = before; index > 0; index--) {
        const cw_log_line_t *line = &lines->items[index - 1];

        if (strcmp(line->event, event) == 0 && (node == NULL || strcmp(line->node, node) == 0)) {
            return line;
        }
    }
    return NULL;
}

static bool is_assignment_of_key(const cw_log_line_t *line, json_int_t key, const char *service)
{
    const char *of = json_string_value(json_object_get(line->fields, "service"));

    return strcmp(line->event, "assignment") == 0 && of != NULL && service != NULL && strcmp(of, service) == 0 &&
           json_integer_value(json_object_get(line->fields, "low")) <= key &&
           key <= json_integer_value(json_object_get(line->fields, "last"));
}

static void print_assignment(const cw_log_lines_t *lines, size_t position)
{
    const cw_log_line_t *line = &lines->items[position];
    const json_t        *key = json_object_get(line->fields, "key");
    const char          *service = json_string_value(json_object_get(line->fields, "service"));
    size_t               index;

    for (index = position; json_is_integer(key) && index > 0; index--) {
        if (is_assignment_of_key(&lines->items[index - 1], json_integer_value(key), service)) {
            print_line(&lines->items[index - 1], "      the key's range: ");
            return;
        }
    }
}

/* Prints the last loss of the server that the line names, in the 30 s before it. */
static void print_server_loss(const cw_log_lines_t *lines, size_t position)
{
    const cw_log_line_t *line = &lines->items[position];
    const char          *server = json_string_value(json_object_get(line->fields, "server"));
    size_t               index;

    server = server == NULL ? json_string_value(json_object_get(line->fields, "detail")) : server;
    for (index = position;
         server != NULL && index > 0 && line->time - lines->items[index - 1].time < server_loss_window_s; index--) {
        const cw_log_line_t *other = &lines->items[index - 1];
        const char          *named = json_string_value(json_object_get(other->fields, "server"));

        if (named != NULL && strcmp(named, server) == 0 && strcmp(other->event, "server lost") == 0) {
            print_line(other, "      the server: ");
            return;
        }
    }
}

static void print_node_state(const cw_log_lines_t *lines, size_t position)
{
    static const char *const events[STATE_EVENTS] = {"start",      "leader seen", "configuration accepted",
                                                     "store lost", "store back",  "servers changed"};
    const cw_log_line_t     *line = &lines->items[position];
    size_t                   index;

    for (index = 0; index < STATE_EVENTS; index++) {
        const cw_log_line_t *state = last_of(lines, position, events[index], line->node);

        if (state != NULL) {
            print_line(state, "      this node: ");
        }
    }
    print_assignment(lines, position);
    print_server_loss(lines, position);
}

/* Prints the cause of a line and, for each event that explains it, the last line before it. */
static void print_cause(const cw_log_lines_t *lines, size_t position)
{
    const cw_log_line_t        *line = &lines->items[position];
    const char                 *words = cw_explain_cause(line);
    const cw_explain_related_t *related = cw_explain_related(line);
    size_t                      event;
    size_t                      index;

    if (words != NULL) {
        printf("      cause: %s\n", words);
    }
    for (event = 0; related != NULL && related->events[event] != NULL; event++) {
        for (index = position; index > 0; index--) {
            if (cw_explain_is_related(line, &lines->items[index - 1], related->events[event])) {
                print_line(&lines->items[index - 1], "      rests on: ");
                break;
            }
        }
    }
}

static size_t print_request(const cw_log_lines_t *lines, const char *request, const char *indent);

/* Prints the lines of the earlier request that an answer waited for. */
static void print_waited_for(const cw_log_lines_t *lines, const cw_log_line_t *line)
{
    const char *earlier = cw_log_line_text(line, "waited_for");

    if (strcmp(line->event, "answer waited") == 0 && earlier[0] != '\0' && !names_request(line, earlier)) {
        printf("      the request that it waited for, %s:\n", earlier);
        if (print_request(lines, earlier, "        ") == 0) {
            printf("        no line names it\n");
        }
    }
}

static size_t print_request(const cw_log_lines_t *lines, const char *request, const char *indent)
{
    size_t index;
    size_t found = 0;

    for (index = 0; index < lines->count; index++) {
        if (!names_request(&lines->items[index], request)) {
            continue;
        }
        print_line(&lines->items[index], indent);
        print_cause(lines, index);
        print_node_state(lines, index);
        if (indent[0] == '\0') { /* one level only: a request that the earlier one waited for is not printed */
            print_waited_for(lines, &lines->items[index]);
        }
        found++;
    }
    return found;
}

static int explain(const cw_log_lines_t *lines, const char *request)
{
    size_t found = print_request(lines, request, "");

    if (found == 0) {
        printf("no line names request %s in %zu lines\n", request, lines->count);
    }
    return found == 0 ? CW_EXIT_REFUSED : CW_EXIT_DONE;
}

int cw_cli_explain(const char *request, const char *const *files, size_t count)
{
    cw_log_lines_t lines = {0};
    int            code = cw_log_lines_read(&lines, files, count);

    if (code == CW_EXIT_DONE) {
        code = explain(&lines, request);
    }
    cw_log_lines_clear(&lines);
    return code;
}
