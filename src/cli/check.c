/**
 * @file check.c
 * @brief `cedarwinch check`: checks settings and intents.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "cli/cli.h"
#include "config/router_settings.h"
#include "intent/intent.h"

/* An intent has a line that begins with the key `tenant`; settings have no such key. */
static bool is_intent(const char *file_name)
{
    FILE *file = fopen(file_name, "r");
    char  line[512];
    bool  found = false;

    if (file == NULL) {
        return false;
    }
    while (!found && fgets(line, sizeof(line), file) != NULL) {
        found = strncmp(line, "tenant:", strlen("tenant:")) == 0;
    }
    fclose(file);
    return found;
}

static void check_file(const char *file, const cw_name_set_t *regions, cw_findings_t *findings)
{
    cw_router_settings_t settings;
    cw_intent_t          intent;

    if (is_intent(file)) {
        (void)cw_intent_read(&intent, file, regions, findings);
        cw_intent_clear(&intent);
    } else {
        (void)cw_router_settings_read(&settings, file, findings);
    }
}

int cw_cli_check(const char *const *files, size_t count, const cw_name_set_t *regions)
{
    cw_findings_t findings;
    size_t        index;
    int           code;

    cw_findings_init(&findings);
    for (index = 0; index < count; index++) {
        check_file(files[index], regions, &findings);
    }
    cw_findings_print(&findings, stdout);
    printf("%zu files, %zu findings\n", count, findings.count);
    code = findings.count == 0 ? CW_EXIT_DONE : CW_EXIT_REFUSED;
    cw_findings_clear(&findings);
    return code;
}
