/**
 * @file page.h
 * @brief Generated parts of a Markdown page: the text between <!-- begin NAME --> and <!-- end NAME -->.
 */
#ifndef CEDARWINCH_CAPACITY_PAGE_H
#define CEDARWINCH_CAPACITY_PAGE_H

/** Replaces the part's text; everything around it stays. Returns malloc()ed text; NULL: a marker is missing, or no
 *  memory. */
char *cw_capacity_page_replace(const char *page, const char *name, const char *text);
/** Reads a whole file; NULL: it could not be read. */
char *cw_capacity_page_read(const char *file_name);
/** Writes the file beside its place and moves it there. */
int cw_capacity_page_write(const char *file_name, const char *text);

#endif
