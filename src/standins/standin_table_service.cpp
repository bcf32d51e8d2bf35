#include "platform/memory_table_service.h"
#include "standins/standin_store_server.h"
#include "standins/standin_table_service_handler.h"

int main(int argc, char** argv)
{
    galenaroad::standin_store_faults faults;
    galenaroad::memory_table_service tables(faults.hooks());
    galenaroad::standin_table_service_handler handler(tables);
    return galenaroad::standin_store_server::run_program(
        argc, argv, faults,
        [&](auto& request, auto& response) { handler.handle(request, response); });
}
