#ifndef SHEET_TESTS_SHEET_SAMPLE_H
#define SHEET_TESTS_SHEET_SAMPLE_H

/* Valid rows in CSV, from which the tests build sheets.  GOOD is a valid sheet.
 */
#define HEADER                                                                 \
  "kind,name,model,version,adapters,span,count,data_centres,domains,hosts,"    \
  "customers,credential_sha256,weight,rate,in_flight,non_idempotent\n"
#define SHA_A "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define SHA_B "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
#define MODEL "model,m,,1.0,x;y,,,,,,,,,,,\n"
#define CUSTOMER "customer,c,,,,,,casa-1;casa-2,,,," SHA_A ",5,100,20,\n"
#define GROUP "group,g,m,,,2,2,casa-1,,,c,,,,,\n"
#define SERVICE "service,s,,,,,,casa-1,,,c,,,,,POST /book;*\n"
#define END(n) "end,,,,,," n ",,,,,,,,,\n"
#define GOOD HEADER MODEL CUSTOMER GROUP SERVICE END ("4")

#endif
