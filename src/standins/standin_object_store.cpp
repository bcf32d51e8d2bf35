#include "platform/memory_object_store.h"
#include "standins/standin_object_store_handler.h"
#include "standins/standin_store_server.h"

int main(int argc, char** argv)
{
    galenaroad::standin_store_faults faults;
    galenaroad::memory_object_store objects(faults.hooks());
    galenaroad::standin_object_store_handler handler(objects);
    return galenaroad::standin_store_server::run_program(
        argc, argv, faults,
        [&](auto& request, auto& response) { handler.handle(request, response); });
}
