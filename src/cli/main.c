/**
 * @file main.c
 * @brief Command line for operators. Exit codes are in cli.h.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/version.h"
#include "cli/cli.h"

enum { ERRORS_MAX = 10, WORDS_MAX = 256 };

static const char name_letters[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";

static void print_help(void)
{
    printf("Usage: cedarwinch COMMAND ...\n"
           "  check FILE...                        settings and intents: all findings with their places\n"
           "  plan INTENT --store IPV4:PORT        what the intent would change; prints the plan's id\n"
           "  confirm PLAN INTENT --store IPV4:PORT  accepts that plan, if it is not stale\n"
           "  zone out|in NAME [--confirm PLAN] --store IPV4:PORT  takes a zone out of service, or puts it back\n"
           "  status NODE...                       what nodes (IPV4:PORT of their readiness) believe\n"
           "  explain REQUEST-ID [LOG...]          a request's story from logs, or from standard input\n"
           "  report [--html FILE] [LOG...]        outcomes by second, hottest keys and moves, from logs\n"
           "  --regions NAME,...                   with check, plan and confirm: other regions are findings\n"
           "Exit codes: 0 done, 1 refused, 2 wrong command line, 3 no answer, 4 outcome not known\n");
}

static const char *store_of(const struct arg_str *store)
{
    const char *text = store->count > 0 ? store->sval[0] : getenv("CEDARWINCH_STORE");

    return text;
}

static int wrong(const char *what)
{
    fprintf(stderr, "cedarwinch: %s; see --help\n", what);
    return CW_EXIT_WRONG_INPUT;
}

/* NULL: not given. */
static const cw_name_set_t *regions_of(cw_name_set_t *regions, const struct arg_str *option)
{
    char *names = option->count > 0 ? strdup(option->sval[0]) : NULL;
    char *rest = NULL;
    char *name;

    for (name = names == NULL ? NULL : strtok_r(names, ",", &rest); name != NULL; name = strtok_r(NULL, ",", &rest)) {
        cw_name_set_add(regions, name);
    }
    free(names);
    return option->count > 0 ? regions : NULL;
}

/* out|in NAME */
static int run_zone(const char *const *rest, size_t count, const char *plan, const char *store)
{
    bool is_out = count == 2 && strcmp(rest[0], "out") == 0;

    if (count != 2 || store == NULL || (!is_out && strcmp(rest[0], "in") != 0)) {
        return wrong("zone needs out or in, a zone's name and --store");
    }
    if (rest[1][0] == '\0' || strspn(rest[1], name_letters) != strlen(rest[1])) {
        return wrong("a zone's name has letters, digits, '-', '_' and '.'");
    }
    return cw_cli_zone(rest[1], is_out, plan, store);
}

static int run(const struct arg_str *words, const struct arg_str *store, const struct arg_file *page,
               const cw_name_set_t *regions, const char *plan)
{
    const char        *command = words->count > 0 ? words->sval[0] : "";
    const char *const *rest = words->sval + 1;
    size_t             count = words->count > 0 ? (size_t)words->count - 1 : 0;

    if (strcmp(command, "check") == 0) {
        return count > 0 ? cw_cli_check(rest, count, regions) : wrong("check needs files");
    }
    if (strcmp(command, "status") == 0) {
        return count > 0 ? cw_cli_status(rest, count) : wrong("status needs nodes");
    }
    if (strcmp(command, "explain") == 0) {
        return count > 0 ? cw_cli_explain(rest[0], rest + 1, count - 1) : wrong("explain needs a request's id");
    }
    if (strcmp(command, "report") == 0) {
        return cw_cli_report(rest, count, page->count > 0 ? page->filename[0] : NULL);
    }
    if (strcmp(command, "plan") == 0) {
        return count == 1 && store_of(store) != NULL ? cw_cli_plan(rest[0], store_of(store), regions)
                                                     : wrong("plan needs an intent and --store");
    }
    if (strcmp(command, "confirm") == 0) {
        return count == 2 && store_of(store) != NULL ? cw_cli_confirm(rest[0], rest[1], store_of(store), regions)
                                                     : wrong("confirm needs a plan, an intent and --store");
    }
    if (strcmp(command, "zone") == 0) {
        return run_zone(rest, count, plan, store_of(store));
    }
    return wrong("no such command");
}

int main(int argument_count, char **arguments)
{
    struct arg_str  *words = arg_strn(NULL, NULL, "COMMAND", 0, WORDS_MAX, "see above");
    struct arg_str  *store = arg_str0("s", "store", "IPV4:PORT", "the store; default: CEDARWINCH_STORE");
    struct arg_file *page = arg_file0(NULL, "html", "FILE", "report: the same as a page with plots");
    struct arg_str  *region_names = arg_str0(NULL, "regions", "NAME,...", "regions that intents may name");
    struct arg_str  *plan = arg_str0(NULL, "confirm", "PLAN", "zone: does what the plan of this id says");
    struct arg_lit  *help = arg_lit0("h", "help", "this text");
    struct arg_lit  *version = arg_lit0("V", "version", "version");
    struct arg_end  *end = arg_end(ERRORS_MAX);
    void            *table[] = {words, store, page, region_names, plan, help, version, end};
    int              errors = arg_parse(argument_count, arguments, table);
    cw_name_set_t    regions = {0};
    int              code;

    if (help->count > 0) {
        print_help();
        code = CW_EXIT_DONE;
    } else if (version->count > 0) {
        printf("cedarwinch %s\n", CW_VERSION);
        code = CW_EXIT_DONE;
    } else if (errors > 0) {
        arg_print_errors(stderr, end, "cedarwinch");
        code = CW_EXIT_WRONG_INPUT;
    } else {
        code = run(words, store, page, regions_of(&regions, region_names), plan->count > 0 ? plan->sval[0] : NULL);
    }
    cw_name_set_clear(&regions);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
