/**
 * @file ipv4_endpoint.c
 * @brief Reads endpoints that other parties write.
 */
#include "net/ipv4_endpoint.h"

#include <arpa/inet.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

enum { PORT_DIGITS_MAX = 5 };

/* Returns 0 if the text is no port. */
static uint16_t read_port(const char *text)
{
    size_t        digits = strspn(text, "0123456789");
    unsigned long port;

    if (digits == 0 || digits > PORT_DIGITS_MAX || text[digits] != '\0') {
        return 0;
    }
    port = strtoul(text, NULL, 10);
    return port <= UINT16_MAX ? (uint16_t)port : 0;
}

bool cw_ipv4_endpoint_read(const char *text, struct sockaddr_in *endpoint)
{
    const char    *colon = strrchr(text, ':');
    char           host[INET_ADDRSTRLEN];
    struct in_addr address;
    uint16_t       port;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    port = read_port(colon + 1);
    if (port == 0 || inet_pton(AF_INET, host, &address) != 1) {
        return false;
    }
    *endpoint = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(port), .sin_addr = address};
    return true;
}
