/**
 * @file link_processes.c
 * @brief Asks the kernel for the connection's inode, and searches the processes for an open descriptor of it.
 */
#include "link_processes.h"

#include <dirent.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    LINE_MAX_BYTES = 512, /* of /proc/net/tcp: 150 characters and the address of the inode */
    PATH_MAX_BYTES = 320, /* "/proc", two numbers and the name of a directory entry */
    SOCKET_NAME_MAX = 64,
    ATTRIBUTES_BYTES = 512 /* room for attributes that may follow an answer of the kernel, though none is requested */
};

/* Asks the kernel for the inode of one connection; 0: it has none any more, since its process has closed it. Returns
 * false if the kernel does not answer such questions. Reading /proc/net/tcp instead takes tens of milliseconds if there
 * are many thousands of connections. */
static bool query_inode(const struct sockaddr_in *local, const struct sockaddr_in *remote, unsigned long *inode)
{
    struct {
        struct nlmsghdr         header;
        struct inet_diag_req_v2 request;
    } query = {.header = {.nlmsg_len = sizeof(query), .nlmsg_type = SOCK_DIAG_BY_FAMILY, .nlmsg_flags = NLM_F_REQUEST},
               .request = {.sdiag_family = AF_INET, .sdiag_protocol = IPPROTO_TCP, .idiag_states = UINT32_MAX}};
    struct {
        struct nlmsghdr      header;
        struct inet_diag_msg message;
        char                 attributes[ATTRIBUTES_BYTES];
    } answer = {0};
    int     descriptor = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    ssize_t length = -1;

    query.request.id.idiag_sport = local->sin_port;
    query.request.id.idiag_dport = remote->sin_port;
    query.request.id.idiag_src[0] = local->sin_addr.s_addr;
    query.request.id.idiag_dst[0] = remote->sin_addr.s_addr;
    query.request.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    query.request.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    *inode = 0;
    if (descriptor < 0) {
        return false;
    }
    if (send(descriptor, &query, sizeof(query), 0) == (ssize_t)sizeof(query)) {
        length = recv(descriptor, &answer, sizeof(answer), MSG_DONTWAIT);
    }
    (void)close(descriptor);
    if (length > 0 && answer.header.nlmsg_type == SOCK_DIAG_BY_FAMILY) {
        *inode = answer.message.idiag_inode;
    }
    return length > 0;
}

/* Formats an address as /proc/net/tcp does: the IP address as a number in this machine's byte order, then the port. */
static void format_address(char *text, size_t size, const struct sockaddr_in *address)
{
    snprintf(text, size, "%08X:%04X", address->sin_addr.s_addr, ntohs(address->sin_port));
}

/* Finds the inode in /proc/net/tcp, for kernels that do not answer query_inode; 0: not found. */
static unsigned long read_inode(const struct sockaddr_in *local, const struct sockaddr_in *remote)
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
    format_address(wanted_local, sizeof(wanted_local), local);
    format_address(wanted_remote, sizeof(wanted_remote), remote);
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

static bool has_socket_open(int process, const char *socket_name)
{
    char           path[PATH_MAX_BYTES];
    char           name[SOCKET_NAME_MAX];
    DIR           *directory;
    struct dirent *entry;
    bool           found = false;

    snprintf(path, sizeof(path), "/proc/%d/fd", process);
    directory = opendir(path);
    if (directory == NULL) {
        return false; /* the process has ended */
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

const link_end_t *link_end_of_connection(const link_rules_t *rules, const uv_tcp_t *accepted,
                                         const struct sockaddr_in *listen)
{
    struct sockaddr_in remote;
    int                length = sizeof(remote);
    char               socket_name[SOCKET_NAME_MAX];
    unsigned long      inode;
    size_t             position;

    if (uv_tcp_getpeername(accepted, (struct sockaddr *)&remote, &length) != 0) {
        return NULL;
    }
    if (!query_inode(&remote, listen, &inode)) {
        inode = read_inode(&remote, listen);
    }
    if (inode == 0) {
        return NULL;
    }
    snprintf(socket_name, sizeof(socket_name), "socket:[%lu]", inode);
    for (position = 0; position < rules->end_count; position++) {
        const link_end_t *end = &rules->ends[position];

        if (end->process != 0 && has_socket_open(end->process, socket_name)) {
            return end;
        }
    }
    return NULL;
}
