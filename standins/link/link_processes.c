/**
 * @file link_processes.c
 * @brief By the kernel's tables: the connection's inode, and the process that has it open.
 */
#include "link_processes.h"

#include <dirent.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum {
    LINE_MAX_BYTES = 512, /* of /proc/net/tcp: 150 and the inode's address */
    PATH_MAX_BYTES = 320, /* /proc, two numbers and a name of a directory's entry */
    SOCKET_NAME_MAX = 64
};

/* As /proc/net/tcp writes it: the number in the byte order of this machine, the port as a number. */
static void format_place(char *text, size_t size, const struct sockaddr_in *place)
{
    snprintf(text, size, "%08X:%04X", place->sin_addr.s_addr, ntohs(place->sin_port));
}

/* 0: not found. */
static unsigned long find_inode(const struct sockaddr_in *local, const struct sockaddr_in *remote)
{
    FILE         *table = fopen("/proc/net/tcp", "r");
    char          line[LINE_MAX_BYTES];
    char          wanted_local[16];
    char          wanted_remote[16];
    char          local_text[16];
    char          remote_text[16];
    unsigned long inode = 0;

    if (table == NULL) {
        return 0;
    }
    format_place(wanted_local, sizeof(wanted_local), local);
    format_place(wanted_remote, sizeof(wanted_remote), remote);
    while (inode == 0 && fgets(line, sizeof(line), table) != NULL) {
        unsigned long number;

        if (sscanf(line, " %*s %15s %15s %*s %*s %*s %*s %*s %*s %lu", local_text, remote_text, &number) == 3 &&
            strcmp(local_text, wanted_local) == 0 && strcmp(remote_text, wanted_remote) == 0) {
            inode = number;
        }
    }
    (void)fclose(table);
    return inode;
}

static bool has_open(int process, const char *socket_name)
{
    char           path[PATH_MAX_BYTES];
    char           name[SOCKET_NAME_MAX];
    DIR           *directory;
    struct dirent *entry;
    bool           found = false;

    snprintf(path, sizeof(path), "/proc/%d/fd", process);
    directory = opendir(path);
    if (directory == NULL) {
        return false; /* it has ended */
    }
    while (!found && (entry = readdir(directory)) != NULL) {
        ssize_t length;

        snprintf(path, sizeof(path), "/proc/%d/fd/%s", process, entry->d_name);
        length = readlink(path, name, sizeof(name) - 1);
        if (length > 0) {
            name[length] = '\0';
            found = strcmp(name, socket_name) == 0;
        }
    }
    (void)closedir(directory);
    return found;
}

const link_end_t *link_process_of(const link_rules_t *rules, const uv_tcp_t *accepted, const struct sockaddr_in *listen)
{
    struct sockaddr_in other;
    int                length = sizeof(other);
    char               socket_name[SOCKET_NAME_MAX];
    unsigned long      inode;
    size_t             position;

    if (uv_tcp_getpeername(accepted, (struct sockaddr *)&other, &length) != 0) {
        return NULL;
    }
    inode = find_inode(&other, listen);
    if (inode == 0) {
        return NULL;
    }
    snprintf(socket_name, sizeof(socket_name), "socket:[%lu]", inode);
    for (position = 0; position < rules->end_count; position++) {
        const link_end_t *end = &rules->ends[position];

        if (end->process != 0 && has_open(end->process, socket_name)) {
            return end;
        }
    }
    return NULL;
}
