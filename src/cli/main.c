/**
 * @file main.c
 * @brief Command line of the operators' program. cli.h lists the exit codes.
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
           "  check FILE...                        checks settings and intents; prints all findings\n"
           "  plan INTENT --store IPV4:PORT        what the intent would change; prints the plan's id\n"
           "  confirm PLAN INTENT --store IPV4:PORT  accepts that plan, if it is not stale\n"
           "  zone out|in NAME [--confirm PLAN] --store IPV4:PORT  takes a zone out of service, or puts it back\n"
           "  status NODE...                       state of nodes (IPV4:PORT of their readiness endpoints)\n"
           "  explain REQUEST-ID [LOG...]          explains a request from logs, or from standard input\n"
           "  report [--html FILE] [LOG...]        outcomes by second, hottest keys and moves, from logs\n"
           "  --regions NAME,...                   with check, plan and confirm: other regions are findings\n"
           "Exit codes: 0 done, 1 refused, 2 wrong command line, 3 no answer, 4 outcome not known\n");
}

static const char *store_address(const struct arg_str *store)
{
    const char *text = store->count > 0 ? store->sval[0] : getenv("CEDARWINCH_STORE");

    return text;
}

static int usage_error(const char *what)
{
    fprintf(stderr, "cedarwinch: %s; see --help\n", what);
    return CW_EXIT_WRONG_INPUT;
}

/* The regions of the option --regions; NULL if it is not given. */
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

/* Runs `zone out|in NAME`. */
static int run_zone(const char *const *operands, size_t count, const char *plan, const char *store)
{
    bool is_out = count == 2 && strcmp(operands[0], "out") == 0;

    if (count != 2 || store == NULL || (!is_out && strcmp(operands[0], "in") != 0)) {
        return usage_error("zone needs out or in, a zone's name and --store");
    }
    if (operands[1][0] == '\0' || strspn(operands[1], name_letters) != strlen(operands[1])) {
        return usage_error("a zone's name has letters, digits, '-', '_' and '.'");
    }
    return cw_cli_zone(operands[1], is_out, plan, store);
}

static int run(const struct arg_str *words, const struct arg_str *store, const struct arg_file *page,
               const cw_name_set_t *regions, const char *plan)
{
    const char        *command = words->count > 0 ? words->sval[0] : "";
    const char *const *operands = words->sval + 1;
    size_t             count = words->count > 0 ? (size_t)words->count - 1 : 0;

    if (strcmp(command, "check") == 0) {
        return count > 0 ? cw_cli_check(operands, count, regions) : usage_error("check needs files");
    }
    if (strcmp(command, "status") == 0) {
        return count > 0 ? cw_cli_status(operands, count) : usage_error("status needs nodes");
    }
    if (strcmp(command, "explain") == 0) {
        return count > 0 ? cw_cli_explain(operands[0], operands + 1, count - 1)
                         : usage_error("explain needs a request's id");
    }
    if (strcmp(command, "report") == 0) {
        return cw_cli_report(operands, count, page->count > 0 ? page->filename[0] : NULL);
    }
    if (strcmp(command, "plan") == 0) {
        return count == 1 && store_address(store) != NULL ? cw_cli_plan(operands[0], store_address(store), regions)
                                                          : usage_error("plan needs an intent and --store");
    }
    if (strcmp(command, "confirm") == 0) {
        return count == 2 && store_address(store) != NULL
                   ? cw_cli_confirm(operands[0], operands[1], store_address(store), regions)
                   : usage_error("confirm needs a plan, an intent and --store");
    }
    if (strcmp(command, "zone") == 0) {
        return run_zone(operands, count, plan, store_address(store));
    }
    return usage_error("no such command");
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
